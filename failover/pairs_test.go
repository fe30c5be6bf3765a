package failover_test

import (
	"testing"
	"time"
)

// twin is one of the faults that are combined in pairs, with how it ends.
type twin struct {
	name  string
	begin func(w *world)
	end   func(w *world)
}

var twins = []twin{
	{"partition", func(w *world) { w.isolatePrimary(w.nodes[1:]...) }, func(w *world) {
		clear(w.cut)
		w.member("g-a").SetIsolated(false)
	}},
	{"far lag", func(w *world) { w.member("g-b").SetLag(time.Minute) }, func(w *world) { w.member("g-b").SetLag(0) }},
	{"proxy death", func(w *world) { w.die(w.nodes[4]) }, func(*world) {}},
	{"store outage", func(w *world) { w.table = tableDown }, func(w *world) { w.table = tableUp }},
	{"lost store answer", func(w *world) { w.table = tableLosesAnswers }, func(w *world) { w.table = tableUp }},
	{"paused holder", func(w *world) { w.pause(w.nodes[0]) }, func(w *world) { w.resume(w.nodes[0]) }},
	{"silent connections", func(w *world) { w.silence("g-a") }, func(*world) {}},
	{"primary crash", func(w *world) { w.crash("g-a") }, func(*world) {}},
}

// die ends an instance for good: it does nothing more and answers nobody.
func (w *world) die(n *node) {
	w.pause(n)
	for _, other := range w.nodes {
		w.cut[link{other.name, n.name}] = true
	}
}

// silence drops what is under way between every instance and a member, once.
func (w *world) silence(name string) {
	for _, n := range w.nodes {
		w.cut[link{n.name, name}] = true
	}
	w.at(probeTimeout, func() {
		for _, n := range w.nodes {
			delete(w.cut, link{n.name, name})
		}
	})
}

func TestTwoFaultsAtOnce(t *testing.T) {
	for i, one := range twins {
		for _, other := range twins[i+1:] {
			t.Run(one.name+" and "+other.name, func(t *testing.T) {
				w := newWorld(t, worldConfig{instances: 5, lag: 20 * time.Millisecond})
				w.advance(settle)
				w.fault(func() {
					one.begin(w)
					other.begin(w)
				})
				w.advance(target)
				before := len(w.acks)
				w.advance(time.Second)
				if len(w.acks) == before {
					t.Errorf("no write was acknowledged %v after both faults; events: %v", target, w.explains)
				}
				one.end(w)
				other.end(w)
				w.advance(settle)
				before = len(w.acks)
				w.advance(time.Second)
				if len(w.acks) == before {
					t.Error("no write was acknowledged after both faults had ended")
				}
			})
		}
	}
}
