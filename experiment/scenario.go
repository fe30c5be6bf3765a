package experiment

import "time"

// RequestKind describes the requests of one kind that callers send to a group.
type RequestKind struct {
	Name string
	// PerSecond is the mean number of new requests a second.
	PerSecond float64
	// WriteShare is the share of requests that write.
	WriteShare float64
	// Service is the mean time that a member takes to run a request.
	Service time.Duration
	// Objective is the time after which an answer is late, and Timeout the time after which a caller gives up, both from the
	// caller's first attempt.
	Objective time.Duration
	Timeout   time.Duration
	// MaxStaleness is the accepted age of the data of a read; reads with 0 need the primary.
	MaxStaleness time.Duration
	// OwnWrites requires that a read sees the writes of its session.
	OwnWrites bool
	// Priority orders competing requests; 0 is served first.
	Priority int
}

// Scenario describes a load on one group of a primary and two replicas, and what happens to its members.
type Scenario struct {
	Name     string
	Duration time.Duration
	// Slots is the number of requests that a member runs at once, and Connections the limit on the connections to it.
	Slots       int
	Connections int
	// Handshake is the time that a new connection occupies a slot.
	Handshake time.Duration
	Sessions  int
	Kinds     []RequestKind
	// Lag is the replication lag outside of LagFrom to LagUntil, in which it is LagInside; a negative value means that
	// the replica receives nothing.
	Lag               time.Duration
	LagFrom, LagUntil time.Duration
	LagInside         [replicas]time.Duration
	// DemotedAt is when the primary is demoted for a planned change, or 0; PromotedAt is when the first replica leads.
	DemotedAt, PromotedAt time.Duration
	// SplitFrom and SplitUntil are when the replicas and the store cannot be reached from the instance, or 0.
	SplitFrom, SplitUntil time.Duration
	// Grey describes a replica that answers probes but fails requests.
	Grey Grey
}

// Grey describes the failures of the first replica, which answers its probes all the while.
type Grey struct {
	// From and Until are when it fails requests.
	From, Until time.Duration
	// Share is the share of the requests that fail.
	Share float64
	// Period, if above 0, makes the replica fail all requests in the first half of each period and none in the second.
	Period time.Duration
}

// active reports whether the replica fails requests at a time since the start.
func (g Grey) active(elapsed time.Duration) bool {
	if elapsed < g.From || elapsed >= g.Until {
		return false
	}
	return g.Period == 0 || (elapsed-g.From)%g.Period < g.Period/2
}

// rosterKinds are the requests of one of three database groups of a crew rostering system, per group.
func rosterKinds() []RequestKind {
	return []RequestKind{
		{Name: "change", PerSecond: 27, WriteShare: 0.35, Service: 6 * time.Millisecond, Objective: 150 * time.Millisecond,
			Timeout: 2500 * time.Millisecond, Priority: 1},
		{Name: "view", PerSecond: 27, Service: 30 * time.Millisecond, Objective: 500 * time.Millisecond, Timeout: 8 * time.Second,
			MaxStaleness: 1500 * time.Millisecond, Priority: 2},
		{Name: "callout", PerSecond: 127, WriteShare: 0.12, Service: 18 * time.Millisecond, Objective: 250 * time.Millisecond,
			Timeout: 2500 * time.Millisecond, MaxStaleness: 2500 * time.Millisecond, OwnWrites: true, Priority: 2},
	}
}

func rosterScenario(name string) Scenario {
	return Scenario{
		Name: name, Duration: 20 * time.Second, Slots: 3, Connections: 23, Handshake: 12 * time.Millisecond, Sessions: 33,
		Kinds: rosterKinds(), Lag: 8 * time.Millisecond,
	}
}

// Scenarios returns the loads on which group policies are compared.
func Scenarios() []Scenario {
	steady := rosterScenario("steady")
	behind := rosterScenario("replicas behind")
	behind.LagFrom, behind.LagUntil = 6*time.Second, 12*time.Second
	behind.LagInside = [replicas]time.Duration{900 * time.Millisecond, -1}
	change := rosterScenario("planned change")
	// At this load the primary alone cannot serve the reads as well.
	for i := range change.Kinds {
		change.Kinds[i].PerSecond *= 1.3
	}
	change.DemotedAt, change.PromotedAt = 8*time.Second, 8700*time.Millisecond
	split := rosterScenario("partition")
	split.SplitFrom, split.SplitUntil = 8*time.Second, 13*time.Second
	grey := rosterScenario("grey replica")
	grey.Grey = Grey{From: 6 * time.Second, Until: 14 * time.Second, Share: 0.4}
	lying := rosterScenario("lying replica")
	lying.Grey = Grey{From: 6 * time.Second, Until: 14 * time.Second, Share: 1}
	flapping := rosterScenario("flapping replica")
	flapping.Grey = Grey{From: 6 * time.Second, Until: 14 * time.Second, Share: 1, Period: 2800 * time.Millisecond}
	return []Scenario{steady, behind, change, split, grey, lying, flapping}
}

// GroupVariant is a set of policies with which a group is simulated; the zero value has those in use.
type GroupVariant struct {
	Name string
	// BlockBehind keeps all reads from a replica that has refused one floor, instead of those of that floor or a higher one.
	BlockBehind bool
	// DropDemoted drops the floors when the primary is demoted.
	DropDemoted bool
	// NameNewTerm names an inherited floor with the new term.
	NameNewTerm bool
	// RequireLease sends no read to a primary without a lease.
	RequireLease bool
	// KeepAll evicts no waiter that would start too late.
	KeepAll bool
	// NeverEject keeps sending reads to a replica that fails them.
	NeverEject bool
	// ReturnFailures returns the failure of a read to its caller instead of retrying the read at another member.
	ReturnFailures bool
}

// GroupVariants returns the policies in use, and each of them switched off.
func GroupVariants() []GroupVariant {
	return []GroupVariant{
		{Name: "in use"},
		{Name: "one refused floor blocks", BlockBehind: true},
		{Name: "no floors once demoted", DropDemoted: true},
		{Name: "floors name the new term", NameNewTerm: true},
		{Name: "no reads without lease", RequireLease: true},
		{Name: "no eviction", KeepAll: true},
		{Name: "no ejection", NeverEject: true},
		{Name: "no retries", ReturnFailures: true},
	}
}
