package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// originWall and originBoot are the wall clock and the boot clock at process start.
var (
	originWall = time.Now().Round(0)
	originBoot = bootTime()
)

// bootTime returns the time since boot, including suspends.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the wall time at process start plus the boot time elapsed since, so it never steps.
func Now() time.Time { return originWall.Add(bootTime() - originBoot) }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Wall converts t to wall time, for deadlines of the net package.
func Wall(t time.Time) time.Time { return time.Now().Add(Until(t)) }
