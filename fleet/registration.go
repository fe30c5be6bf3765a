package fleet

import (
	"bytes"
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
	// registerHedge is how long a registration is waited for before it is sent again beside the first: a store that is a
	// hundred times slower than usual answers within it. maxRegisterTries bounds those under way.
	registerHedge    = time.Second
	maxRegisterTries = 3
	// maxRegisterConflicts is how often a registration is tried again at once after a conflict: the first may be with the
	// configuration, and the second with the row.
	maxRegisterConflicts = 2
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
	row      store.Row
	// version is the version of the row in the store as far as it is known, or 0 if there is none.
	version uint64
	// proofFailed reports that the last try failed because the configuration was not the newest one.
	proofFailed bool
}

// Name returns the service's name.
func (r *registration[L]) Name() string { return "registration" }

// Run registers in each era of the store, retrying until that succeeds, and removes the registration once ctx ends.
//
// Until the store has answered that the row is there, this instance may hold no lease. In a
// new era promotions wait out all leases for some time; the leases end before that if the
// row could not be written again.
func (r *registration[L]) Run(ctx context.Context) error {
	i := r.instance
	row, err := encodeRegistration(i.node.Self())
	if err != nil {
		return err
	}
	r.row = row
	complete := i.cfg.FirstStart || r.expectRegistered(ctx)
	lasting := r.register(ctx, nil)
	if ctx.Err() == nil && !complete {
		r.countRegistered(ctx)
	}
	for ctx.Err() == nil {
		select {
		case <-lasting.Done():
			alive, _ := i.counts()
			overdue := time.NewTimer(reregistrationTime(alive) - minRewriteSpread)
			if i.rewritePause(ctx) == nil {
				lasting = r.register(ctx, overdue.C)
			}
			overdue.Stop()
		case <-ctx.Done():
		}
	}
	r.remove()
	return nil
}

// registrationTry is the result of one try to register.
type registrationTry struct {
	committed store.Snapshot
	proof     keyCondition
	sentAt    time.Time
	err       error
}

// register writes the row until that succeeds or ctx ends, and returns a context that ends with the store's era in which the
// row was written. Once overdue delivers a value, this instance gives up its leases until then.
//
// A try that is not answered within registerHedge is followed by another, as its answer may be lost. The same transaction
// proves the keys: after a restart of all instances, a call of its own for the proof would queue behind the registrations,
// which the store applies one after the other.
func (r *registration[L]) register(ctx context.Context, overdue <-chan time.Time) context.Context {
	i := r.instance
	r.awaitConfiguration(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan registrationTry)
	pending, conflicts := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	defer func() {
		cancel()
		for ; pending > 0; pending-- {
			<-results
		}
	}()
	for {
		select {
		case <-next.C:
			next.Reset(registerHedge)
			if pending == maxRegisterTries {
				continue
			}
			pending++
			var proof keyCondition
			if !r.proofFailed {
				proof = i.keyCondition(clock.Now())
			}
			go r.try(ctx, r.version, proof, results)
		case t := <-results:
			pending--
			if lasting, ok := r.accept(t); ok {
				return lasting
			}
			switch {
			case fault.KindOf(t.err) == fault.KindConflict && conflicts < maxRegisterConflicts:
				conflicts++
				next.Reset(0)
			case pending == 0:
				next.Reset(registerPause)
			}
		case <-overdue:
			i.forbidLeases()
		case <-ctx.Done():
			_, lasting := i.era.Current()
			return lasting
		}
	}
}

// try makes one try to register and sends its result.
//
// It expects the row as this instance knows it: a try that is written late, after a later one, has no effect.
func (r *registration[L]) try(ctx context.Context, version uint64, proof keyCondition, results chan<- registrationTry) {
	t := registrationTry{sentAt: clock.Now(), proof: proof}
	expect := append([]store.Row{{Table: instanceTable, Key: r.row.Key, Version: version}}, proof.expect...)
	t.committed, t.err = r.instance.cfg.Store.Commit(ctx, store.Tx{Expect: expect, Upserts: []store.Row{r.row}})
	results <- t
}

// accept takes over the result of a try. It reports whether this instance is registered, and returns a context that ends with
// the store's era.
func (r *registration[L]) accept(t registrationTry) (lasting context.Context, registered bool) {
	i := r.instance
	if t.err == nil && t.proof.provedBy(t.committed) {
		i.confirm(t.sentAt)
	}
	r.proofFailed = false
	switch {
	case t.err == nil:
		r.version = t.committed.Version
	case fault.KindOf(t.err) == fault.KindConflict:
		own, others := cutRow(t.committed, instanceTable, r.row.Key)
		i.applyConfiguration(others)
		r.proofFailed = own.Version == r.version
		r.version = own.Version
		if !bytes.Equal(own.Value, r.row.Value) {
			return nil, false
		}
	default:
		return nil, false
	}
	era, lasting := i.era.Current()
	if t.committed.Era != era {
		return nil, false
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "registered", "position", t.committed.Position().String())
	i.allowLeases()
	return lasting, true
}

// cutRow returns a row of a snapshot, or the zero Row, and the snapshot without it.
func cutRow(s store.Snapshot, table, key string) (row store.Row, others store.Snapshot) {
	others = s
	others.Rows = nil
	for _, r := range s.Rows {
		if r.Table == table && r.Key == key {
			row = r
			continue
		}
		others.Rows = append(others.Rows, r)
	}
	return row, others
}

// remove removes the registration, unless a later run of this instance has written it since.
//
// The removal expects the row as it is: if it is performed late, it does not remove the row of a later run.
func (r *registration[L]) remove() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for {
		expected := store.Row{Table: instanceTable, Key: r.row.Key, Version: r.version}
		s, err := r.instance.cfg.Store.Commit(ctx, store.Tx{Expect: []store.Row{expected}, Remove: []store.Row{r.row}})
		if fault.KindOf(err) != fault.KindConflict {
			if err != nil {
				logLine(r.instance.cfg.Logger, "level", "info", "msg", "registration_left", "error", err.Error())
			}
			return
		}
		own, _ := cutRow(s, instanceTable, r.row.Key)
		identity, ok := decodeRegistration(own)
		if own.Version == 0 || own.Version == r.version || ok && identity.Incarnation() > r.instance.node.Self().Incarnation() {
			return
		}
		r.version = own.Version
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
	own, restarted := s.Row(r.instance.cfg.Name)
	if !restarted {
		return false
	}
	r.version = own.Version
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
