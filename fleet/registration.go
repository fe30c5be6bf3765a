package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/store"
)

const (
	// instanceTable lists the instances that may hold leases. It is read by the coordinator of a promotion, and by an
	// instance that restarts.
	instanceTable = "monsoontiller_instances"
	// registerPause is the wait before a failed registration is tried again.
	registerPause = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the registration at shutdown.
	leaveTimeout = 300 * time.Millisecond
)

// registeredIdentity is the value of a row of instanceTable.
type registeredIdentity struct {
	Incarnation uint64 `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	Capacity    uint32 `json:"capacity"`
}

// encodeRegistration returns the row that registers an instance.
func encodeRegistration(self membership.Identity) (store.Row, error) {
	value, err := json.Marshal(registeredIdentity{
		Incarnation: self.Incarnation(), PeerAddress: self.PeerAddress(), DataCentre: self.DataCentre(), Capacity: self.Capacity(),
	})
	if err != nil {
		return store.Row{}, eris.Wrap(err, "cannot encode the registration of this instance")
	}
	return store.Row{Table: instanceTable, Key: self.Name(), Value: value}, nil
}

// decodeRegistration returns the identity that a row registers; ok is false for a row without an address, as earlier
// versions wrote it.
func decodeRegistration(row store.Row) (identity membership.Identity, ok bool) {
	var r registeredIdentity
	if json.Unmarshal(row.Value, &r) != nil || r.PeerAddress == "" {
		return identity, false
	}
	return membership.NewIdentity(membership.IdentityConfig{
		Incarnation: r.Incarnation, Name: row.Key, PeerAddress: r.PeerAddress, DataCentre: r.DataCentre, Capacity: r.Capacity,
	}), true
}

// registration registers this instance in the store, and removes the registration at shutdown.
type registration[L Link[L]] struct {
	instance *Instance[L]
}

// Name returns the service's name.
func (r *registration[L]) Name() string { return "registration" }

// Run registers in each era of the store, retrying until that succeeds, and removes the registration once ctx ends.
func (r *registration[L]) Run(ctx context.Context) error {
	row, err := encodeRegistration(r.instance.node.Self())
	if err != nil {
		return err
	}
	complete := r.instance.cfg.FirstStart || r.expectRegistered(ctx)
	lasting := r.register(ctx, row)
	if ctx.Err() == nil && !complete {
		r.countRegistered(ctx)
	}
	for ctx.Err() == nil {
		select {
		case <-lasting.Done():
			if r.instance.rewritePause(ctx) == nil {
				lasting = r.register(ctx, row)
			}
		case <-ctx.Done():
		}
	}
	removeCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := r.instance.cfg.Store.Commit(removeCtx, store.Tx{Remove: []store.Row{row}}); err != nil {
		logLine(r.instance.cfg.Logger, "level", "info", "msg", "registration_left", "error", err.Error())
	}
	return nil
}

// register writes the row until that succeeds or ctx ends, and returns a context that ends with the store's era in which the
// row was written.
//
// The same transaction proves the keys: after a restart of all instances, a call of its own for the proof would queue behind
// the registrations, which the store applies one after the other.
func (r *registration[L]) register(ctx context.Context, row store.Row) context.Context {
	r.awaitConfiguration(ctx)
	conflict := false
	for {
		sentAt := clock.Now()
		proof := r.instance.keyCondition(sentAt)
		if conflict {
			proof = keyCondition{}
		}
		committed, err := r.instance.cfg.Store.Commit(ctx, store.Tx{Expect: proof.expect, Upserts: []store.Row{row}})
		if err == nil && proof.provedBy(committed) {
			r.instance.confirm(sentAt)
		}
		if conflict = fault.KindOf(err) == fault.KindConflict; conflict {
			r.instance.applyConfiguration(committed)
			continue
		}
		era, lasting := r.instance.era.Current()
		if err == nil && committed.Era == era {
			logLine(r.instance.cfg.Logger, "level", "info", "msg", "registered", "position", committed.Position().String())
			return lasting
		}
		if engine.Sleep(ctx, registerPause) != nil {
			return lasting
		}
	}
}

const (
	// maxConfigurationWait is the longest time that the registration waits for the configuration, which is read at the same
	// time as the list of instances: two calls of the store.
	maxConfigurationWait = 50 * time.Millisecond
	// configurationPause is the interval of its checks.
	configurationPause = 5 * time.Millisecond
)

// awaitConfiguration waits until the configuration is known, where the keys need a proof.
func (r *registration[L]) awaitConfiguration(ctx context.Context) {
	if r.instance.freshness.Bound() == 0 {
		return
	}
	for until := clock.Now().Add(maxConfigurationWait); clock.Now().Before(until); {
		if _, known := r.instance.directory.Version(); known || engine.Sleep(ctx, configurationPause) != nil {
			return
		}
	}
}

// expectRegistered makes this instance expect the registered instances, if an earlier run of it is among them.
//
// An earlier run that did not remove its registration has crashed, and the other
// instances may have crashed with it. Only then is the list known to be complete, and
// complete is set: when the fleet starts for the first time, the instances register one
// after the other.
func (r *registration[L]) expectRegistered(ctx context.Context) (complete bool) {
	s, err := r.instance.cfg.Store.All(ctx, instanceTable)
	if err != nil {
		logLine(r.instance.cfg.Logger, "level", "info", "msg", "registrations_unknown", "error", err.Error())
		return false
	}
	if _, restarted := s.Row(r.instance.cfg.Name); !restarted {
		return false
	}
	var expected []membership.Identity
	for _, row := range s.Rows {
		if identity, ok := decodeRegistration(row); ok && row.Key != r.instance.cfg.Name {
			expected = append(expected, identity)
		}
	}
	r.instance.expect(expected)
	r.instance.registered.Store(int64(len(s.Rows)))
	return true
}

// countRegistered reads the number of registered instances; without it, this instance waits longer before it acts as a home.
func (r *registration[L]) countRegistered(ctx context.Context) {
	s, err := r.instance.cfg.Store.All(ctx, instanceTable)
	if err != nil {
		logLine(r.instance.cfg.Logger, "level", "info", "msg", "registrations_unknown", "error", err.Error())
		return
	}
	r.instance.registered.Store(int64(len(s.Rows)))
}
