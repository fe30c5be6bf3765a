package fleet_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/membership"
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

// Guards against an account whose homes remain those of an earlier configuration. Load: versions of the configuration that
// change the number of homes, while sessions look up the homes of their accounts.
func TestAccountHomesFollowConfiguration(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	i := fleet.New(fleet.Config[*platform.Link]{Name: "self", PeerListener: listener, Logger: log.NewNopLogger(), Scope: tally.NoopScope})
	var expected []membership.Identity
	for n := range 30 {
		expected = append(expected, membership.NewIdentity(membership.IdentityConfig{Name: fmt.Sprint("instance-", n), PeerAddress: "127.0.0.1:1"}))
	}
	few, many := document(1), document(2)
	many.Groups = map[string]fleet.GroupSettings{"g1": {Connections: 120}}
	fleet.SetAccountHomes(i, few, expected)
	for version := uint64(2); version < 400; {
		var wait sync.WaitGroup
		for range 4 {
			wait.Go(func() {
				for n := range 50 {
					fleet.AccountHomes(i, "g1", fmt.Sprint("account-", n))
				}
			})
		}
		for range 20 {
			doc := few
			if version%2 == 0 {
				doc = many
			}
			doc.Version = version
			version++
			fleet.ApplyDocument(i, doc)
			fleet.HomesOf(i, "g1")
		}
		wait.Wait()
		homes := fleet.HomesOf(i, "g1")
		for n := range 50 {
			if got := fleet.AccountHomes(i, "g1", fmt.Sprint("account-", n)); len(got) != len(homes) {
				t.Fatalf("version %d has %d homes, account %d keeps %d", version-1, len(homes), n, len(got))
			}
		}
	}
}
