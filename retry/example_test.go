package retry_test

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/retry"
)

func ExampleClassify() {
	now := time.Unix(100, 0)
	nonIdempotent := retry.Request{Deadline: now.Add(time.Second)}
	lost := retry.Attempt{Failure: retry.FailureLost, SentBytes: true}
	fmt.Println(retry.Classify(now, nonIdempotent, lost) == retry.VerdictUnknown)
	unsent := retry.Attempt{Failure: retry.FailureConnect}
	fmt.Println(retry.Classify(now, nonIdempotent, unsent) == retry.VerdictRetry)
	// Output:
	// true
	// true
}
