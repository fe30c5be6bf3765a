package fleet_test

import (
	"context"
	"strings"
	"testing"

	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/store"
	"github.com/monsoontiller/monsoontiller/store/storetest"
)

// oddValues are values of rows that no instance writes.
var oddValues = []string{
	"", "null", "7", "[]", `"text"`, `{"token":`, `{"token":"1"}`, `{"token":-1}`, `{"token":1e400}`, `{"holder":5}`, `{"term":"x"}`,
	`{"until_ms":9223372036854775808}`, `{"orders":5}`, `{"peer_address":5}`, "\xff\xfe", strings.Repeat("[", 200000),
	`{"term":18446744073709551615,"until_ms":9223372036854775807,"ordered":18446744073709551615}`,
}

// Guards against a term that is confirmed, or a token that goes back, because a row of the coordinator cannot be read.
func TestOddRowsOfCoordinatorConfirmNothing(t *testing.T) {
	for _, key := range []string{fleet.CoordinatorKey, fleet.IntentKeyPrefix + "orders", fleet.EraKey} {
		for _, value := range oddValues {
			s := storetest.New()
			one := newSimulation()
			one.store = s
			lease := one.lease("one")
			if err := lease.Claim(context.Background(), "orders", 2); err != nil {
				t.Fatal(err)
			}
			before, _ := lease.Held()
			s.Put(fleet.CoordinatorTable, key, []byte(value))
			one.advance(2 * fleet.CoordinatorLeaseDuration)
			other := one.lease("two")
			// The claim may fail: an operator is told which row to remove.
			if err := other.Claim(context.Background(), "orders", 2); err != nil {
				continue
			}
			if token, held := other.Held(); held && token <= before {
				t.Errorf("%s is %.40q: the token went from %d to %d", key, value, before, token)
			}
		}
	}
}

// FuzzCoordinatorRows checks that rows of any content are decoded or rejected, and that an unreadable one confirms no term.
func FuzzCoordinatorRows(f *testing.F) {
	for _, value := range oddValues {
		f.Add([]byte(value), []byte(value))
	}
	f.Add([]byte(`{"holder":"one","token":3,"until_ms":5000,"era":1,"complete":true}`), []byte(`{"term":3,"attempt":"a","until_ms":5000}`))
	f.Fuzz(func(t *testing.T, coordinator, intent []byte) {
		s := store.Snapshot{Version: 9, Rows: []store.Row{
			{Table: fleet.CoordinatorTable, Key: fleet.CoordinatorKey, Value: coordinator, Version: 8},
			{Table: fleet.CoordinatorTable, Key: fleet.IntentKeyPrefix + "orders", Value: intent, Version: 9},
		}}
		inProgress := fleet.PromotionInProgress(s, "orders", 2)
		if !strings.HasPrefix(strings.TrimSpace(string(intent)), "{") && string(intent) != "null" && strings.TrimSpace(string(intent)) != "null" && !inProgress {
			t.Errorf("the intent %q confirms a term", intent)
		}
	})
}

// FuzzRegistration checks that a row of any content registers an instance with an address, or none.
func FuzzRegistration(f *testing.F) {
	for _, value := range oddValues {
		f.Add("one", []byte(value))
	}
	f.Add("one", []byte(`{"incarnation":1,"peer_address":"10.0.0.1:7440","data_centre":"z1","capacity":400}`))
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		identity, ok := fleet.RegisteredIdentity(store.Row{Key: name, Value: value})
		if ok && (identity.Name() != name || identity.PeerAddress() == "") {
			t.Errorf("%q registers %+v", value, identity)
		}
	})
}
