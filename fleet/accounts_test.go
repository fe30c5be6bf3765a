package fleet_test

import (
	"sync"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/platform"
)

// Guards against a removed key that is accepted with the proof of the version that removed it. Load: an instance without a
// recent proof applies that version and its proof, while statements are identified.
func TestRemovedKeyIsNeverAccepted(t *testing.T) {
	key := account.HashKey("removed")
	withKey, without := document(1), document(2)
	withKey.Accounts = account.NewRegistry([]account.Config{{Name: "a", Keys: []account.Key{key}}})
	without.Accounts = account.NewRegistry([]account.Config{{Name: "a"}})
	for range 5_000 {
		k := fleet.NewKeys[*platform.Link](time.Second)
		k.Apply(withKey, clock.Now().Add(-time.Hour))
		var wait sync.WaitGroup
		wait.Go(func() { k.Apply(without, clock.Now()) })
		for range 20 {
			if name, err := k.Identify("orders", key); err == nil {
				t.Fatalf("the removed key identifies account %q", name)
			}
		}
		wait.Wait()
	}
}
