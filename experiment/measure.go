package experiment

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Measure names numbers in a JSON report.
type Measure struct {
	Name string
	// Path holds the object keys and array indices that lead to the number; * stands for every element of an array or
	// object. The path of an array or object itself gives its length.
	Path []string
}

// ParseMeasure parses NAME=PATH, in which the parts of the path are separated by dots.
func ParseMeasure(text string) (Measure, error) {
	name, path, ok := strings.Cut(text, "=")
	if !ok || name == "" || path == "" {
		return Measure{}, eris.Errorf("measure %q is not of the form NAME=PATH; write for example p99=latency.p99", text)
	}
	return Measure{Name: name, Path: strings.Split(path, ".")}, nil
}

// ReadMeasures returns the numbers that the measures name in a JSON report.
//
// A value found through * has the element's name, or else its index, appended to the measure's name. Paths that do not exist
// are left out.
func ReadMeasures(report []byte, measures []Measure) (map[string]float64, error) {
	var root any
	if err := json.Unmarshal(report, &root); err != nil {
		return nil, eris.Wrap(err, "the report is not JSON")
	}
	values := map[string]float64{}
	for _, m := range measures {
		collect(values, m.Name, root, m.Path)
	}
	return values, nil
}

// collect adds the numbers at path below node to values.
func collect(values map[string]float64, name string, node any, path []string) {
	if len(path) == 0 {
		switch v := node.(type) {
		case float64:
			values[name] = v
		case []any:
			values[name] = float64(len(v))
		case map[string]any:
			values[name] = float64(len(v))
		}
		return
	}
	key, rest := path[0], path[1:]
	switch v := node.(type) {
	case map[string]any:
		if key != "*" {
			collect(values, name, v[key], rest)
			return
		}
		for _, k := range sortedKeys(v) {
			collect(values, name+" "+k, v[k], rest)
		}
	case []any:
		if key != "*" {
			if i, err := strconv.Atoi(key); err == nil && i >= 0 && i < len(v) {
				collect(values, name, v[i], rest)
			}
			return
		}
		for i, element := range v {
			collect(values, name+" "+elementName(element, i), element, rest)
		}
	}
}

// elementName returns the "name" of an array's element, or its index if it has none.
func elementName(element any, index int) string {
	if fields, ok := element.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return strconv.Itoa(index)
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
