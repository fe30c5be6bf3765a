package membership_test

import (
	"fmt"

	"github.com/monsoontiller/monsoontiller/membership"
)

func ExampleRank() {
	all := membership.Rank("group/orders-1", []string{"entry-1", "entry-2", "entry-3"})
	rest := membership.Rank("group/orders-1", all[1:])
	fmt.Println(rest[0] == all[1])
	// Output: true
}
