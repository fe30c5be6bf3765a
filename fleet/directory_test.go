package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/platform"
)

func document(version uint64) fleet.Document {
	return fleet.Document{
		Version: version,
		Contracts: map[string]*contract.Contract{"orders": contract.New(contract.Config{
			Customer: "orders", Database: "orders", Group: "g1", RequestTimeout: time.Second, TargetLatency: time.Second,
		})},
		Groups: map[string]fleet.GroupSettings{"g1": {Connections: 40}},
	}
}

// Guards against a deadlock. A statement looks up its group, the list of endpoints changes the groups and reads the
// configuration under their lock, and a new configuration waits to come into force, all at once, as happens when a frozen
// instance continues.
func TestGroupLookupDoesNotBlockConfiguration(t *testing.T) {
	var d *fleet.Directory[*platform.Link]
	applied := make(chan struct{})
	d = fleet.NewDirectory[*platform.Link](func() {
		go func() {
			d.Apply(document(2))
			close(applied)
		}()
		select {
		case <-applied:
		case <-time.After(50 * time.Millisecond):
			// Apply waits for the lock or has not started; Group must return in both cases.
		}
		if _, ok := d.Group("g1"); !ok {
			t.Error("the group is not known")
		}
	})
	d.Apply(document(1))
	ended := make(chan error, 1)
	go func() { ended <- d.ContractTerms("orders") }()
	select {
	case err := <-ended:
		if fault.KindOf(err) != fault.KindUnavailable {
			t.Errorf("failed with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock of the lookup, the configuration and the groups")
	}
	<-applied
}
