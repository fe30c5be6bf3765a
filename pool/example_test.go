package pool_test

import (
	"fmt"

	"github.com/monsoontiller/monsoontiller/pool"
)

func ExampleShares() {
	lender := pool.NewShares(pool.SharesConfig{Limit: 12, Seats: 3, Seat: 1, Incarnation: 1})
	borrower := pool.NewShares(pool.SharesConfig{Limit: 12, Seats: 3, Seat: 2, Incarnation: 5})
	sequence, _ := borrower.BeginBorrow("entry-1")
	granted := lender.Lend(pool.LoanReport{Peer: "entry-2", Incarnation: 5, LenderIncarnation: 1, Sequence: sequence, Count: 1}, 3)
	borrower.CompleteBorrow("entry-1", granted)
	fmt.Println(lender.Usable(), borrower.Usable())
	// Output: 3 5
}
