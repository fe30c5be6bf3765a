package fleet

import (
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/route"
)

// linesPerSecond limits the log lines about requests; omitted lines are counted.
const linesPerSecond = 50

// recorder counts the outcomes of statements, and logs refusals and late answers; it is safe for concurrent use.
type recorder struct {
	logger  log.Logger
	served  [3]tally.Counter
	refused tally.Counter
	late    tally.Counter
	// unauthenticated counts the sessions refused or ended because no account holds their key, and unproven the refusals for lack
	// of a recent proof that this instance knows the newest keys.
	unauthenticated tally.Counter
	unproven        tally.Counter
	latency         tally.Histogram
	mu              sync.Mutex
	second          int64
	logged          int
	omitted         int
}

// latencyBuckets span 250 µs to 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

func newRecorder(logger log.Logger, scope tally.Scope) *recorder {
	r := &recorder{
		logger:          logger,
		refused:         scope.Counter("refused_total"),
		late:            scope.Counter("late_total"),
		unauthenticated: scope.Counter("unauthenticated_total"),
		unproven:        scope.Counter("unproven_total"),
		latency:         scope.Histogram("request_seconds", latencyBuckets),
	}
	for target, name := range map[route.Target]string{route.TargetNone: "none", route.TargetPrimary: "primary", route.TargetReplica: "replica"} {
		r.served[target] = scope.Tagged(map[string]string{"target": name}).Counter("served_total")
	}
	return r
}

// Record counts the outcome of a statement; it logs a refusal or a late answer with its causes.
func (r *recorder) Record(rec engine.Record) {
	r.latency.RecordDuration(rec.Duration)
	if rec.Refusal == nil {
		r.served[rec.Target].Inc(1)
		if rec.Objective > 0 && rec.Duration > rec.Objective {
			r.late.Inc(1)
			r.log("statement_late", rec, "", "")
		}
		return
	}
	r.refused.Inc(1)
	switch {
	case rec.Refusal.Unproven:
		r.unproven.Inc(1)
	case rec.Refusal.Reason == engine.ReasonUnauthenticated:
		r.unauthenticated.Inc(1)
	}
	r.log("statement_refused", rec, rec.Refusal.Reason.String(), rec.Refusal.Text)
}

func (r *recorder) log(message string, rec engine.Record, reason, text string) {
	omitted, ok := r.allow()
	if !ok {
		return
	}
	logLine(r.logger, "level", "info", "msg", message, "id", rec.Request, "session", rec.Session,
		"database", rec.Database, "account", rec.Account, "group", rec.Group, "op", rec.Op.String(), "endpoint", rec.Endpoint, "floor", rec.Floor.String(),
		"retries", rec.Retries, "attempts", strings.Join(rec.Failures, "; "), "took_ms", rec.Duration.Milliseconds(),
		"objective_ms", rec.Objective.Milliseconds(), "revision", rec.Revision, "reason", reason, "text", text, "lines_left_out", omitted)
}

// allow reports whether a line may be logged in this second; omitted is the number of lines that were not logged since the
// last allowed line.
func (r *recorder) allow() (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := clock.Now().Unix()
	if second != r.second {
		r.second = second
		r.logged = 0
	}
	if r.logged >= linesPerSecond {
		r.omitted++
		return 0, false
	}
	r.logged++
	omitted = r.omitted
	r.omitted = 0
	return omitted, true
}
