package group_test

import (
	"fmt"

	"github.com/monsoontiller/monsoontiller/group"
)

func ExampleHistory_Resolve() {
	h := group.NewHistory(group.NewTermStart(1, 0), group.NewTermStart(2, 100))
	survived, fate := h.Resolve(group.NewPoint(1, 90))
	fmt.Println(survived, fate == group.FateSurvived)
	_, fate = h.Resolve(group.NewPoint(1, 110))
	fmt.Println(fate == group.FateLost)
	// Output:
	// 2/90 true
	// true
}
