package contract_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/monsoontiller/monsoontiller/contract"
)

const minimalContract = `customer = "lellu"
[[database]]
name = "orders-1"
group = "orders-1"
`

func TestMinimalContractGetsDefaults(t *testing.T) {
	c, err := contract.Parse([]byte(minimalContract))
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits().QueueTimeout() <= 0 || c.Retries().Ratio() <= 0 || c.DrainTimeout() <= 0 || c.Writes().Replication() != contract.ReplicationWait {
		t.Errorf("a default is missing: %+v", c)
	}
}

func TestExamplesAreAccepted(t *testing.T) {
	files, err := filepath.Glob("../examples/contract-*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := contract.Parse(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	text := `customer = "Bad Name"
[limits]
queue_timeout = "1m"
request_timeout = "1s"
callers = 0
[reads]
default = "maybe"
max_staleness = "-1s"
[retries]
ratio = 2.0
first_backoff = "2s"
[writes]
replication = "always"
`
	_, err := contract.Parse([]byte(text))
	var errs contract.ValidationErrors
	if !errors.As(err, &errs) {
		t.Fatalf("Parse returned %v, want validation errors", err)
	}
	all := errs.Error()
	for _, want := range []string{"customer", "database", "limits.queue_timeout", "limits.callers", "reads.default", "reads.max_staleness", "retries.ratio", "retries.first_backoff", "writes.replication"} {
		if !strings.Contains(all, want) {
			t.Errorf("%q is not among the validation errors:\n%s", want, all)
		}
	}
}

func TestRegistryAppliesOnlyHigherRevisions(t *testing.T) {
	r := contract.NewRegistry()
	for _, step := range []struct {
		revision contract.Revision
		applied  bool
	}{{1, true}, {3, true}, {2, false}, {3, false}, {4, true}} {
		e, err := contract.NewEntry(step.revision, []byte(minimalContract))
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Apply(e); got != step.applied {
			t.Errorf("Apply(revision %d) = %v, want %v", step.revision, got, step.applied)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalContract))
	f.Add([]byte("customer = [1,2]\n[limits]\ncallers = \"x\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := contract.Parse(text)
		if (c == nil) == (err == nil) {
			t.Fatalf("Parse returned %v and %v", c, err)
		}
	})
}
