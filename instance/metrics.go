package instance

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/caller"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/report"
	"github.com/monsoontiller/monsoontiller/route"
)

// metrics holds the instance's metrics, except the gauge of each group's failover gap.
type metrics struct {
	scope tally.Scope
	// requests is indexed by route.Target and caller.Outcome.
	requests     [3][3]tally.Counter
	reads        tally.Counter
	replicaReads tally.Counter
	retries      tally.Counter
	replicaShare tally.Gauge
	callers      tally.Gauge
	latency      tally.Histogram
	configAge    tally.Gauge
}

// targetNames holds the values of the tag target, indexed by route.Target.
var targetNames = [...]string{"none", "primary", "replica"}

// latencyBuckets span 50 µs to 26 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 20)

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope:        scope,
		reads:        scope.Counter("reads_total"),
		replicaReads: scope.Counter("replica_reads_total"),
		retries:      scope.Counter("retries_total"),
		replicaShare: scope.Gauge("replica_read_share"),
		callers:      scope.Gauge("callers"),
		latency:      scope.Histogram("request_seconds", latencyBuckets),
		configAge:    scope.Gauge("configuration_age_seconds"),
	}
	for t, target := range targetNames {
		for o := range m.requests[t] {
			m.requests[t][o] = scope.Tagged(map[string]string{
				"target":  target,
				"outcome": caller.Outcome(o).String(),
			}).Counter("requests_total")
		}
	}
	return m
}

// Record counts the result of a request.
func (i *Instance) Record(r caller.Result) {
	m := i.metrics
	m.requests[r.Target()][r.Outcome()].Inc(1)
	m.latency.RecordDuration(r.Duration())
	m.retries.Inc(int64(r.Retries()))
	minute := report.MinuteCounts{Requests: 1}
	if r.Outcome() != caller.OutcomeAnswered {
		minute.Failed = 1
	}
	if r.Duration() > i.objectiveLatency(r.Customer()) {
		minute.Slow = 1
	}
	if r.Class() == route.ClassRead && r.Outcome() == caller.OutcomeAnswered {
		minute.Reads = 1
		m.reads.Inc(1)
		if r.Target() == route.TargetReplica {
			minute.ReplicaReads = 1
			m.replicaReads.Inc(1)
		}
	}
	i.counts.Add(r.Customer(), minute)
}

// objectiveLatency returns the latency objective of a customer, or the maximum duration if it has no contract.
func (i *Instance) objectiveLatency(customer string) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	e, ok := i.contracts.Get(customer)
	if !ok {
		return time.Duration(1<<63 - 1)
	}
	return e.Contract().Objectives().Latency()
}

// recordGap counts a failover gap of a group for every customer that uses it.
func (i *Instance) recordGap(groupName string, gap time.Duration) {
	i.mu.Lock()
	var customers []string
	for _, e := range i.contracts.List() {
		for _, d := range e.Contract().Databases() {
			if d.Group() == groupName {
				customers = append(customers, e.Customer())
				break
			}
		}
	}
	i.mu.Unlock()
	for _, c := range customers {
		i.counts.Add(c, report.MinuteCounts{Gap: gap})
	}
	i.metrics.scope.Tagged(map[string]string{"group": groupName}).Gauge("last_failover_gap_seconds").Update(gap.Seconds())
}

// customers returns the counts and objectives of the customers that have a contract and counts on this instance.
func (i *Instance) customers() []report.CustomerCounts {
	var out []report.CustomerCounts
	for _, name := range i.counts.Customers() {
		i.mu.Lock()
		e, ok := i.contracts.Get(name)
		i.mu.Unlock()
		if !ok {
			continue
		}
		o := e.Contract().Objectives()
		minutes, worst := i.counts.Minutes(name)
		out = append(out, report.CustomerCounts{
			Name: name,
			Objectives: report.Objectives{
				Success:      o.Success(),
				ReplicaShare: o.ReplicaShare(),
				Latency:      o.Latency(),
				FailoverGap:  o.FailoverGap(),
			},
			Minutes:  minutes,
			WorstGap: worst,
		})
	}
	return out
}

// updateGauges updates the gauges, which are computed when the metrics are read.
func (i *Instance) updateGauges() {
	i.metrics.callers.Update(float64(i.server.Callers()))
	if age, ok := i.node.ProofAge(clock.Now()); ok {
		i.metrics.configAge.Update(age.Seconds())
	}
	var reads, replica uint64
	for _, name := range i.counts.Customers() {
		minutes, _ := i.counts.Minutes(name)
		for _, m := range minutes {
			reads += m.Reads
			replica += m.ReplicaReads
		}
	}
	if reads > 0 {
		i.metrics.replicaShare.Update(float64(replica) / float64(reads))
	}
}
