package engine_test

import (
	"strings"
	"testing"

	"github.com/monsoontiller/monsoontiller/engine"
)

// Guards against a statement that runs under the name of another one: a name of several words names what its first word does.
func TestPreparedNamesAreDistinctWords(t *testing.T) {
	shapes := []string{
		"upsert", "upsert booking", "upsert  booking", " upsert", "upsert ", "upsert\tbooking", "upsert\n", "upsert\r", "Upsert",
		"up\xffsert", "up\xfesert", "úpsert", "d_upsert", strings.Repeat("x", 64), strings.Repeat("x", 65), strings.Repeat("x", 1<<20),
	}
	shapes = append(shapes, strings.TrimPrefix(engine.PreparedName("upsert booking", true), "wd_"))
	seen := map[string]string{}
	for _, shape := range shapes {
		for _, writes := range []bool{false, true} {
			name := engine.PreparedName(shape, writes)
			if other, taken := seen[name]; taken {
				t.Errorf("%.20q and %.20q share the name %q", shape, other, name)
			}
			seen[name] = shape
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) {
				t.Errorf("the name %q of %.20q is not one word", name, shape)
			}
		}
	}
}

func FuzzPreparedName(f *testing.F) {
	f.Add("upsert", "upsert booking")
	f.Add("d_x", "x")
	f.Fuzz(func(t *testing.T, one, two string) {
		for _, writes := range []bool{false, true} {
			a, b := engine.PreparedName(one, writes), engine.PreparedName(two, writes)
			if (a == b) != (one == two) {
				t.Errorf("%q has the name %q, and %q has %q", one, a, two, b)
			}
			if a == engine.PreparedName(two, !writes) {
				t.Errorf("a read and a write share the name %q", a)
			}
		}
	})
}
