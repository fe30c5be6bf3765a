package session_test

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/session"
)

func Example() {
	connected := time.Unix(100, 0)
	s := session.New(session.Config{ConnectedAt: connected})
	fmt.Println(s.InitFloor(group.NewPoint(1, 7), connected.Add(-time.Second)))
	fmt.Println(s.InitFloor(group.NewPoint(1, 8), connected.Add(time.Millisecond)))
	s.Raise(group.NewPoint(1, 12), connected.Add(time.Second))
	floor, _ := s.Floor()
	fmt.Println(floor)
	// Output:
	// false
	// true
	// 1/12
}
