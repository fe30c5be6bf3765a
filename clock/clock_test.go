package clock_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
)

func TestNowIsMonotonic(t *testing.T) {
	last := clock.Now()
	for range 1000 {
		now := clock.Now()
		if now.Before(last) {
			t.Fatalf("Now returned %v after %v", now, last)
		}
		last = now
	}
}

func TestWallKeepsTimeToDeadline(t *testing.T) {
	deadline := clock.Now().Add(time.Hour)
	if left := time.Until(clock.Wall(deadline)); left <= 0 || left > time.Hour {
		t.Errorf("%v until the converted deadline, want more than 0 and at most an hour", left)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}
