package fleet_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/store/storetest"
)

// proofInstance returns an instance whose store holds the version of the configuration as text.
func proofInstance(t *testing.T, s *storetest.Store) *fleet.Instance[*platform.Link] {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return fleet.New(fleet.Config[*platform.Link]{
		Name: "self", PeerListener: listener, Logger: log.NewNopLogger(), Scope: tally.NoopScope, Store: s, KeyBound: 5 * time.Second,
		Adapter: fleet.Adapter[*platform.Link]{
			ConfigurationTable: "configuration", ConfigurationKey: "current",
			ParseDocument: func(text []byte) (fleet.Document, error) {
				version, err := strconv.ParseUint(string(text), 10, 64)
				d := document(version)
				d.Accounts = account.NewRegistry(nil)
				return d, err
			},
		},
	})
}

// Guards against a proof of an old configuration. Load: the store returns from a copy that lacks the newest configuration,
// and assigns the version of its row to another one before the instance has seen the new era.
func TestProofEndsWithEraOfStore(t *testing.T) {
	s := storetest.New()
	s.SetEra(1)
	i := proofInstance(t, s)
	proof := fleet.NewKeyProof(i)
	s.Put("configuration", "current", []byte("5"))
	earlier := s.Copy()
	s.Put("configuration", "current", []byte("6"))
	if err := proof.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.Restore(earlier)
	s.Put("configuration", "current", []byte("7"))
	proof.Confirm(t.Context())
	if _, confirmed := i.ConfirmedAsOf(); confirmed && i.AccountsRevision() != 7 {
		t.Errorf("configuration %d is confirmed, the store holds 7", i.AccountsRevision())
	}
	proof.Tick(t.Context(), clock.Now())
	if _, confirmed := i.ConfirmedAsOf(); !confirmed || i.AccountsRevision() != 7 {
		t.Errorf("configuration %d, confirmed %t, want 7 to be confirmed", i.AccountsRevision(), confirmed)
	}
}

// Guards against a store that each instance of a fleet reads at every tick. Load: an operator writes a configuration that
// cannot be decoded, and the instance does not follow the store itself.
func TestUnreadableConfigurationIsNotReadAtEachTick(t *testing.T) {
	s := storetest.New()
	i := proofInstance(t, s)
	var others []membership.Identity
	for n := range 40 {
		others = append(others, membership.NewIdentity(membership.IdentityConfig{Name: fmt.Sprint("instance-", n), PeerAddress: "127.0.0.1:1"}))
	}
	d := document(1)
	d.Accounts = account.NewRegistry(nil)
	fleet.SetAccountHomes(i, d, others)
	proof := fleet.NewKeyProof(i)
	if proof.FollowsStore() {
		t.Fatal("the instance follows the store")
	}
	s.Put("configuration", "current", []byte("unreadable"))
	const seconds = 10
	now := clock.Now()
	for range seconds * time.Second / fleet.KeyProofTick {
		now = now.Add(fleet.KeyProofTick)
		proof.Tick(context.Background(), now)
	}
	// An attempt is a read and one more call.
	if most := 2 * int(seconds*time.Second/fleet.KeyProofInterval); s.Calls() > most {
		t.Errorf("%d calls in %d s, want at most %d", s.Calls(), seconds, most)
	}
}
