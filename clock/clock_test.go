package clock_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
)

func TestNowNeverGoesBack(t *testing.T) {
	last := clock.Now()
	for range 1000 {
		now := clock.Now()
		if now.Before(last) {
			t.Fatalf("%v came after %v", now, last)
		}
		last = now
	}
}

func TestWallKeepsTheDistance(t *testing.T) {
	deadline := clock.Now().Add(time.Hour)
	if left := time.Until(clock.Wall(deadline)); left <= 0 || left > time.Hour {
		t.Errorf("%v left of an hour", left)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}
