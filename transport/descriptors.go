package transport

import (
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// DescriptorBudgetConfig describes a budget of file descriptors.
type DescriptorBudgetConfig struct {
	// Limit returns the limit of the process; the default is RLIMIT_NOFILE.
	Limit func() (int, error)
	// Open returns the number of descriptors that are open; the default counts those of the process.
	Open func() (int, error)
	// Clock returns the time.
	Clock func() time.Time
}

// DescriptorBudget admits connections while enough file descriptors stay free for everything else; it is safe for concurrent use.
type DescriptorBudget struct {
	cfg DescriptorBudgetConfig
	mu  sync.Mutex
	// counted is the number of open descriptors at countedAt, plus those admitted since.
	counted   int
	countedAt time.Time
}

const (
	// reserveShare is one in how many descriptors is kept for links, peers, the store and probes, and minReserve the least
	// number of them.
	reserveShare = 64
	minReserve   = 16
	// countInterval is how long a count of the open descriptors is used.
	countInterval = 100 * time.Millisecond
)

// NewDescriptorBudget returns a budget that has counted nothing yet.
func NewDescriptorBudget(cfg DescriptorBudgetConfig) *DescriptorBudget {
	if cfg.Limit == nil {
		cfg.Limit = processLimit
	}
	if cfg.Open == nil {
		cfg.Open = processOpen
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &DescriptorBudget{cfg: cfg}
}

// Limit returns the number of descriptors that the process can open, and how many of them are not for admitted connections.
func (b *DescriptorBudget) Limit() (limit, reserve int, err error) {
	limit, err = b.cfg.Limit()
	return limit, max(minReserve, limit/reserveShare), err
}

// Admit reports whether one more connection, which is open already, leaves the reserve free; held is the number of connections
// that were admitted and are open.
//
// It counts the open descriptors only if held is a large part of the limit. If the limit or the count cannot be read, it admits,
// unless the count fails for lack of a descriptor.
func (b *DescriptorBudget) Admit(held int) bool {
	limit, reserve, err := b.Limit()
	if err != nil || held < limit/4 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.cfg.Clock(); b.countedAt.IsZero() || now.Sub(b.countedAt) >= countInterval {
		open, err := b.cfg.Open()
		if err != nil {
			return !isTemporary(err)
		}
		b.counted, b.countedAt = open, now
	} else {
		b.counted++
	}
	return b.counted+reserve <= limit
}

func processLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	const most = 1 << 30
	return int(min(limit.Cur, most)), nil
}

// processOpen counts the open descriptors of the process, without the one that it opens for that.
func processOpen() (int, error) {
	directory, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0, err
	}
	names, err := directory.Readdirnames(-1)
	if closeErr := directory.Close(); err == nil {
		err = closeErr
	}
	return len(names) - 1, err
}
