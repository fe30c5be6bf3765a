package main

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
)

const (
	inForceText = `{"Version":7,"Routes":[{"Name":"r1","Host":"orders","Type":"primary","TimeoutMs":1000,"Service":"g1"}],
 "Services":[{"Name":"g1","MaxConnections":27}],"Tenants":[{"Name":"a","ApiKeys":["key-1"]}]}`
	cleanText = `{"Version":8,"Routes":[{"Name":"r1","Host":"orders","Type":"primary","TimeoutMs":900,"Service":"g1"}],
 "Services":[{"Name":"g1","MaxConnections":27}],"Tenants":[{"Name":"a","ApiKeys":["key-2"]}]}`
	warningText = `{"Version":8,"Routes":[{"Host":"orders","Type":"primary","Service":"g1"}],"Services":[{"Name":"g1","MaxConnections":27}]}`
)

// runCheck runs the command with the given arguments and standard input, and returns its exit status and standard output.
func runCheck(t *testing.T, input string, args ...string) (status int, output string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, text := range map[string]string{
		"old.json": inForceText, "clean.json": cleanText, "warning.conf": warningText, "broken.json": "{\n]", "broken.toml": "=", "input": input,
	} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	in, errIn := os.Open("input")
	out, errOut := os.Create("output")
	savedIn, savedOut := os.Stdin, os.Stdout
	os.Stdin, os.Stdout = in, out
	status = run(append([]string{"check"}, args...))
	os.Stdin, os.Stdout = savedIn, savedOut
	text, errRead := os.ReadFile("output")
	if err := errors.Join(errIn, errOut, in.Close(), out.Close(), errRead); err != nil {
		t.Fatal(err)
	}
	return status, string(text)
}

// Guards against an exit status that does not tell clean files, warnings, errors and wrong usage apart.
func TestCheckExitStatus(t *testing.T) {
	for _, c := range []struct {
		args   string
		input  string
		status int
		output string
	}{
		{"clean.json", "", 0, "clean.json: errors 0, warnings 0\n"},
		{"clean.json --against old.json", "", 0, "route \"r1\"\n    time_limit_ms: 1000 -> 900"},
		{"-", cleanText, 0, "-: errors 0, warnings 0\n"},
		{"--against - clean.json", inForceText, 0, "differences from -: 3\n"},
		{"warning.conf", "", 1, "warning: route 1 (database \"orders\"): the name is missing"},
		{"clean.json --instances 3", "", 0, "errors 0"},
		{"warning.conf --against old.json", "", 1, "every key will be accepted"},
		{"old.json --against clean.json", "", 2, "version 7 is not above version 8"},
		{"clean.json warning.conf broken.json", "", 2, "error: file \"broken.json\": line 2, column 1"},
		{"clean.json --against broken.json", "", 2, "error: file \"broken.json\""},
		{"- --json", "\xff\x00", 2, `"place": "file \"-\""`},
		{"missing", "", 2, "it cannot be read"},
		{"- --against -", "", 2, ""},
		{"clean.json --json --kind contract", "", 2, ""},
		{"clean.json --instances -1", "", 2, ""},
		{"broken.toml", "", 3, "broken.toml: line 1"},
		{"broken.toml broken.json", "", 3, "error: file \"broken.json\""},
	} {
		status, output := runCheck(t, c.input, strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(output, c.output) {
			t.Errorf("check %s: status %d, want %d, with %q in the output:\n%s", c.args, status, c.status, c.output, output)
		}
	}
}

// Guards against changed names in the JSON form, lists written as null, and keys in the output.
func TestCheckJSON(t *testing.T) {
	status, output := runCheck(t, "", "--json", "--against", "old.json", "clean.json")
	var got map[string]any
	if err := json.Unmarshal([]byte(output), &got); err != nil || status != 0 {
		t.Fatalf("status %d, error %v:\n%s", status, err, output)
	}
	want := `{"against":"old.json","differences":[` +
		`{"change":"changed","fields":[{"after":"8","before":"7","name":"version"}],"place":"configuration"},` +
		`{"change":"changed","fields":[{"after":"900","before":"1000","name":"time_limit_ms"}],"place":"route \"r1\""},` +
		`{"change":"changed","fields":[{"after":"none","before":"key 1","name":"keys"},{"after":"key 1","before":"none","name":"keys"}],"place":"account \"a\""}],` +
		`"errors":0,"file":"clean.json","findings":[],"version":8,"warnings":0}`
	// Encoding a map sorts the names.
	if text, err := json.Marshal(got); err != nil || string(text) != want {
		t.Errorf("got  %s\nwant %s", text, want)
	}
	_, output = runCheck(t, "", "--json", "warning.conf")
	finding := `"severity":"warning","place":"route 1 (database \"orders\")","message":"the name is missing","remedy":"name the route"`
	if !strings.Contains(strings.NewReplacer("\n", "", "  ", "", ": ", ":").Replace(output), finding) {
		t.Errorf("the finding %s is not in\n%s", finding, output)
	}
}
