package soak

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
	"github.com/monsoontiller/monsoontiller/store/storetest"
)

// rowKey names a row of the store.
type rowKey struct{ table, key string }

// storeCopy is a copy of the store and the time at which it was taken.
type storeCopy struct {
	rows *storetest.Copy
	// tenants are the accounts in the configuration of the copy.
	tenants []platformtest.Tenant
	at      time.Time
}

const (
	// copyInterval is the time between two copies of the store, and copyAge the age of the copy from which it returns.
	copyInterval = 250 * time.Millisecond
	copyAge      = 5 * time.Second
	// maxStoreAbsence bounds how long the store is away before it returns from a copy.
	maxStoreAbsence = 3 * time.Second
	// heartbeatInterval is the time between the heartbeats of two members.
	heartbeatInterval = 300 * time.Millisecond
	// maxRefill bounds the heartbeats after which the lost versions have been assigned again; no member may have an entry.
	maxRefill = 1000
	// applyTime is enough for the instances to apply a configuration.
	applyTime = time.Second
	// maxRewriteDelay bounds how long after the store's return the operator and the members write their rows again.
	maxRewriteDelay = 2 * time.Second
)

// copyStore keeps the copies of the store until ctx ends.
func (f *fixture) copyStore(ctx context.Context) error {
	for ctx.Err() == nil {
		f.mu.Lock()
		now := time.Now()
		f.copies = append(f.copies, storeCopy{rows: f.store.Rows.Copy(), tenants: f.tenants, at: now})
		for len(f.copies) > 1 && now.Sub(f.copies[1].at) >= copyAge {
			f.copies = f.copies[1:]
		}
		f.mu.Unlock()
		pause(ctx, copyInterval)
	}
	return nil
}

// heartbeat writes the entry of one member after the other again until ctx ends, as members do.
func (f *fixture) heartbeat(ctx context.Context) error {
	for n := 0; ctx.Err() == nil; n++ {
		f.writeHeartbeat(f.members[n%len(f.members)])
		pause(ctx, heartbeatInterval)
	}
	return nil
}

// writeHeartbeat writes the entry of a member again, if it has one.
func (f *fixture) writeHeartbeat(m *platformtest.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := rowKey{platform.TableEndpoints, m.ID}
	if value := f.written[row]; value != nil {
		f.store.Rows.Put(row.table, row.key, value)
	}
}

// restoreStore makes the store unavailable for a while and return from a copy that is copyAge old, or the oldest one. The
// operator and the members write what was lost again: after a delay, or before any instance reaches the store, so that
// the lost versions have been assigned again by then. In the latter case a configuration is lost that the instances know.
func (f *fixture) restoreStore(ctx context.Context, fault Fault) {
	early := fault.Target%2 == 1
	if early {
		f.writeConfiguration()
		pause(ctx, applyTime)
	}
	f.store.Rows.SetDown(true)
	pause(ctx, min(fault.Duration, maxStoreAbsence))
	var lost uint64
	f.operator.Exclude(func() { lost = f.restoreCopy() })
	if early {
		f.rewrite()
		f.writeConfiguration()
		for n := 0; f.store.Rows.Version() <= lost && n < maxRefill; n++ {
			f.writeHeartbeat(f.members[n%len(f.members)])
		}
		f.store.Rows.SetDown(false)
		return
	}
	f.store.Rows.SetDown(false)
	pause(ctx, time.Duration(fault.Target)*time.Millisecond%maxRewriteDelay)
	f.rewrite()
}

// restoreCopy makes the store return from the oldest copy that is kept, and returns the newest version that is lost.
func (f *fixture) restoreCopy() (lost uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	older := f.copies[0]
	lost = f.store.Rows.Version()
	if f.accounts != nil {
		f.accounts.oracle.Reinstate(older.tenants)
	}
	f.store.Rows.Restore(older.rows)
	f.tenants = older.tenants
	f.copies = []storeCopy{{rows: older.rows, tenants: older.tenants, at: time.Now()}}
	return lost
}

// rewrite writes the rows of the operator and the members again.
func (f *fixture) rewrite() {
	f.operator.Rewrite(f.rewriteRows)
}

func (f *fixture) rewriteRows(newest platformtest.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tenants = newest.Tenants
	for row, value := range f.written {
		if value == nil {
			f.store.Rows.Remove(row.table, row.key)
			continue
		}
		f.store.Rows.Put(row.table, row.key, value)
	}
}

// putLocked writes a row for the operator or a member.
func (f *fixture) putLocked(table, key string, value []byte) {
	f.written[rowKey{table, key}] = value
	f.store.Rows.Put(table, key, value)
}

// removeEntry removes the store's entry of a member.
func (f *fixture) removeEntry(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.written[rowKey{platform.TableEndpoints, id}] = nil
	f.store.Rows.Remove(platform.TableEndpoints, id)
}
