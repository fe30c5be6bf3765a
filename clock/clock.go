package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin pairs the wall clock at start with the boot clock at that moment.
var (
	originWall = time.Now().Round(0)
	originBoot = boot()
)

func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the present time; it looks like wall time but never steps.
func Now() time.Time { return originWall.Add(boot() - originBoot) }

// Since returns the time passed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Wall returns the wall time that corresponds to t, for deadlines of the net package.
func Wall(t time.Time) time.Time { return time.Now().Add(Until(t)) }
