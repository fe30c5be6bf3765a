package fleet_test

import (
	"context"
	"errors"
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
			Dial: func(context.Context, fleet.Target, fleet.DialFunc) (*platform.Link, error) {
				return nil, errors.New("no endpoint listens")
			},
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

// TestProofDue guards against two loads on the store: every instance of a fleet that confirms the keys though the proof
// reaches it from peers, and every instance that repeats its call at a high rate while the store is down.
func TestProofDue(t *testing.T) {
	for _, tc := range []struct {
		name         string
		sinceLast    time.Duration
		follows, old bool
		failures     int
		want         bool
	}{
		{"follower renews every second", time.Second, true, false, 0, true},
		{"follower has just asked", 500 * time.Millisecond, true, false, 0, false},
		{"others wait for the proof of a peer", time.Hour, false, false, 0, false},
		{"others ask once their proof is old", 600 * time.Millisecond, false, true, 0, true},
		{"others ask no more once a peer has brought a proof", time.Hour, false, false, 3, false},
		{"backs off during an outage", time.Second, false, true, 3, false},
		{"asks during an outage", 2 * time.Second, false, true, 9, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := fleet.ProofDue(tc.sinceLast, tc.follows, tc.old, tc.failures); got != tc.want {
				t.Errorf("due = %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against callers that are refused for half a second after a restart of all instances, while the calls that prove the
// keys queue behind the registrations. Load: an instance starts and registers.
func TestRegistrationProvesKeys(t *testing.T) {
	s := storetest.New()
	s.Put("configuration", "current", []byte("5"))
	i := proofInstance(t, s)
	if err := fleet.NewKeyProof(i).Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := s.Calls()
	if err := fleet.Register(t.Context(), i); err != nil {
		t.Fatal(err)
	}
	if _, confirmed := i.ConfirmedAsOf(); !confirmed || s.Calls() != before+1 {
		t.Errorf("confirmed %t after %d calls, want a proof with the one call that registers", confirmed, s.Calls()-before)
	}
}

// Guards against a proof of a configuration that was replaced before the registration reached the store, and against a
// registration that is given up for it.
func TestRegistrationDoesNotProveReplacedKeys(t *testing.T) {
	s := storetest.New()
	s.Put("configuration", "current", []byte("5"))
	i := proofInstance(t, s)
	if err := fleet.NewKeyProof(i).Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.BeforeNextCommit(func() { s.Put("configuration", "current", []byte("6")) })
	if err := fleet.Register(t.Context(), i); err != nil {
		t.Fatal(err)
	}
	rows, err := s.All(t.Context(), fleet.InstanceTable)
	if _, registered := rows.Row("self"); err != nil || !registered {
		t.Errorf("not registered: %v", err)
	}
	if _, confirmed := i.ConfirmedAsOf(); confirmed || i.AccountsRevision() != 6 {
		t.Errorf("confirmed %t with configuration %d, want no proof and configuration 6", confirmed, i.AccountsRevision())
	}
}

// Guards against a store that each of the instances that follow it asks every second for the same proof. Load: eight
// instances follow the store, and the first of them relays its proof to the others twice a second; later it is cut off.
func TestFollowersRelyOnProofOfFirst(t *testing.T) {
	const (
		followers = 8
		relay     = 400 * time.Millisecond
		bound     = 4700 * time.Millisecond
		cutAt     = time.Minute
	)
	start := time.Unix(1000, 0)
	var asOf, tried [followers]time.Time
	for n := range followers {
		asOf[n], tried[n] = start, start
	}
	calls, oldest := 0, time.Duration(0)
	for at := time.Duration(0); at < cutAt+time.Minute; at += fleet.KeyProofTick / 2 {
		now := start.Add(at)
		cut := at >= cutAt
		for n := range followers {
			if at%relay == 0 && !cut && asOf[0].After(asOf[n]) {
				asOf[n] = asOf[0]
			}
			age := now.Sub(asOf[n])
			if cut && n == 0 {
				continue
			}
			oldest = max(oldest, age)
			if fleet.ProofDue(now.Sub(tried[n]), age >= fleet.RenewalAge(n), age >= bound/2, 0) {
				tried[n], asOf[n] = now, now
				if !cut {
					calls++
				}
			}
		}
	}
	if most := int(cutAt/fleet.KeyProofInterval) * 5 / 4; calls > most {
		t.Errorf("%d calls in a minute, want at most %d", calls, most)
	}
	if oldest >= bound/2 {
		t.Errorf("a proof was %v old, want less than %v", oldest, bound/2)
	}
}
