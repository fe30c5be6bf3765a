package store_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/store"
)

// A store that returns from an older copy assigns versions again: a lower version of a newer era is the later state.
func TestPositionsOfNewerErasAreLater(t *testing.T) {
	for _, tc := range []struct {
		p, q store.Position
		want bool
	}{
		{store.NewPosition(1, 7), store.NewPosition(1, 6), true},
		{store.NewPosition(1, 7), store.NewPosition(1, 7), false},
		{store.NewPosition(2, 3), store.NewPosition(1, 7), true},
		{store.NewPosition(1, 7), store.NewPosition(2, 3), false},
		{store.NewPosition(1, 1), store.NewPosition(0, 900), true},
	} {
		if got := tc.p.After(tc.q); got != tc.want {
			t.Errorf("%v is after %v: %v, want %v", tc.p, tc.q, got, tc.want)
		}
	}
}
