package caller_test

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
)

// Guards against a batch that runs under the settings of another caller, because the endpoint refused the query that should
// have restored those of its own; the batch has not run then, so its caller is not told that its outcome is unknown.
func TestBatchRunsOnlyUnderRestoredSettings(t *testing.T) {
	o := options{limit: 2}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	first, second := connect(t, p, ""), connect(t, p, "")
	exec(t, first, "SET search_path = 'one'", pgx.QueryExecModeSimpleProtocol)
	exec(t, second, "SET search_path = 'two'", pgx.QueryExecModeSimpleProtocol)
	for n := range 3 {
		exec(t, first, fmt.Sprintf("INSERT INTO kv VALUES ('first-%d', 'booked')", n))
		group.Primary().FailSettings(1)
		exec(t, second, fmt.Sprintf("INSERT INTO kv VALUES ('second-%d', 'booked')", n))
		for _, m := range group.Members() {
			m.FailSettings(0)
		}
		if got := value(t, second, "SHOW search_path"); got != "two" {
			t.Fatalf("a statement ran under the setting %q, want its caller's", got)
		}
	}
}
