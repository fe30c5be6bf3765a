package peer_test

import (
	"maps"
	"math"
	"testing"
)

// lendingBackend lends what it is asked for, and an amount of each invalid kind.
type lendingBackend struct{ emptyBackend }

func (lendingBackend) LendTokens(amounts map[string]float64) map[string]float64 {
	lent := maps.Clone(amounts)
	lent["nan"], lent["negative"], lent["infinite"] = math.NaN(), -1, math.Inf(1)
	return lent
}

// A faulty peer may send any numbers, as a borrower or a lender. Amounts that are no positive numbers must be dropped on both
// sides: they would turn a bucket's tokens into NaN, which admits everything or nothing for good.
func TestInvalidTokenAmountsAreDropped(t *testing.T) {
	borrower := startNode(t, "one")
	lender := startNodeWithBackend(t, "two", lendingBackend{})
	asked := map[string]float64{"small": 1.5, "asked-nan": math.NaN(), "asked-negative": -3, "asked-infinite": math.Inf(1)}
	got, err := borrower.BorrowTokens(t.Context(), lender.Self(), asked)
	if want := (map[string]float64{"small": 1.5}); err != nil || !maps.Equal(got, want) {
		t.Errorf("borrowed %v with error %v, want %v", got, err, want)
	}
}
