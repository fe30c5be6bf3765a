package group_test

import (
	"fmt"

	"github.com/monsoontiller/monsoontiller/group"
)

func ExampleHistory_Resolve() {
	h := group.NewHistory(group.NewTermStart(1, 0), group.NewTermStart(2, 100))
	survived, resolution := h.Resolve(group.NewPoint(1, 90))
	fmt.Println(survived, resolution == group.ResolutionSurvived)
	_, resolution = h.Resolve(group.NewPoint(1, 110))
	fmt.Println(resolution == group.ResolutionLost)
	// Output:
	// 2/90 true
	// true
}
