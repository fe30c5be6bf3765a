package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/store"
)

const (
	// keyProofTick is the interval at which the age of the proof is checked.
	keyProofTick = 200 * time.Millisecond
	// keyProofInterval is the interval at which the first instance that follows the store renews the proof for all.
	keyProofInterval = time.Second
	// ownProofShare is the fraction of the bound at which an instance whose proof is relayed asks the store itself.
	ownProofShare = 0.5
	// maxKeyProofPause is the longest wait after failed calls: an outage of the store lasts for seconds, and each call of
	// each instance has a cost.
	maxKeyProofPause = 2 * time.Second
	// keyProofTimeout bounds a call; a proof counts from the time at which the call was sent.
	keyProofTimeout = 600 * time.Millisecond
)

// configurationRow is the row of the store that holds a version of the configuration.
type configurationRow struct {
	mu sync.Mutex
	// document is the version in the configuration itself, and at the position of its row in the store.
	document uint64
	at       store.Position
}

// Record records the position of the row that holds a version.
func (r *configurationRow) Record(document uint64, at store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if document > r.document || document == r.document && at.After(r.at) {
		r.document, r.at = document, at
	}
}

// Position returns the position of the row that holds a version; ok is false if it is not known.
func (r *configurationRow) Position(document uint64) (at store.Position, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at, r.document == document && document != 0
}

// keyProof renews the proof that the keys which this instance holds are the newest.
//
// The first instance that follows the store confirms the version of the configuration's row
// with a transaction that only has a condition: unlike a list of changes, it is never
// answered from an older state. The others receive the proof with heartbeats and with the
// evidence that they fetch. When it becomes old all the same, the others that follow the
// store confirm the version, and later each instance does; they ask peers in turn while the
// store does not answer.
type keyProof[L Link[L]] struct {
	instance *Instance[L]
	// triedAt is when the store was last asked, and failures the number of calls that failed since the last success.
	triedAt  time.Time
	failures int
	// lost reports that the last logged state is that callers with keys are refused.
	lost bool
}

// Name returns the service's name.
func (p *keyProof[L]) Name() string { return "key_proof" }

// Run renews the proof until ctx ends.
func (p *keyProof[L]) Run(ctx context.Context) error {
	for engine.Sleep(ctx, keyProofTick/2+rand.N(keyProofTick)) == nil {
		now := clock.Now()
		p.instance.takeGossipedProof(now)
		if p.due(now) {
			p.triedAt = now
			p.renew(ctx)
		}
		p.logValidity(now)
		p.meterAge(clock.Now())
	}
	return nil
}

// due reports whether to ask the store at now.
func (p *keyProof[L]) due(now time.Time) bool {
	i := p.instance
	if !i.needsKeyProof() {
		return false
	}
	old := !i.keysProvedRecently(now)
	follows := i.followsStore() && i.freshness.Age(now) >= renewalAge(i.followerRank())
	return proofDue(now.Sub(p.triedAt), follows, old, p.failures)
}

// keysProvedRecently reports whether there is a proof of the keys that is younger than ownProofShare of its bound.
func (i *Instance[L]) keysProvedRecently(now time.Time) bool {
	return i.needsKeyProof() && i.freshness.Age(now) < time.Duration(ownProofShare*float64(i.freshness.Bound()))
}

const (
	// relayedProofAge is the age up to which the instances that follow the store, other than the first of them, rely on a proof
	// that they receive: the interval of the first one and two relays.
	relayedProofAge = 1900 * time.Millisecond
	// relayedProofStep is added for each rank, so that a proof that one of them renews reaches the others first.
	relayedProofStep = 50 * time.Millisecond
)

// renewalAge returns the age of the proof at which the instance of a rank among those that follow the store renews it.
func renewalAge(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return relayedProofAge + time.Duration(rank)*relayedProofStep
}

// followerRank returns the rank of this instance among those that follow the store for the others, from 0; it is their number
// for an instance that does not.
func (i *Instance[L]) followerRank() int {
	followers := i.followers()
	if rank := slices.Index(followers, i.cfg.Name); rank >= 0 {
		return rank
	}
	return len(followers)
}

// followers returns the names of the instances that follow the store for the others, sorted by their first group.
func (i *Instance[L]) followers() []string {
	var names []string
	for _, group := range i.directory.GroupNames() {
		if homes := i.homes(group); len(homes) > 0 && !slices.Contains(names, homes[0].Name()) {
			names = append(names, homes[0].Name())
		}
	}
	return names
}

// proofDue reports whether an instance asks the store, given the time since its last call, whether it follows the store,
// whether its proof is old, and the number of calls that failed since the last success.
func proofDue(sinceLast time.Duration, follows, old bool, failures int) bool {
	if !follows && !old {
		return false
	}
	pause := min(keyProofInterval<<min(failures, maxBackoffs), maxKeyProofPause)
	if old && failures < 2 {
		pause /= 2
	}
	return sinceLast >= pause-keyProofTick/2
}

// renew asks the store whether the version in force is the newest one, and applies a newer one.
//
// A version that has just been read is confirmed at once. A store without a version that this instance can apply counts
// as a failure, since each tick would read it again otherwise.
func (p *keyProof[L]) renew(ctx context.Context) {
	storeCtx, cancel := context.WithTimeout(ctx, keyProofTimeout)
	defer cancel()
	for range 2 {
		confirmed, err := p.instance.confirmKeys(storeCtx)
		if err != nil {
			break
		}
		if confirmed {
			p.failures = 0
			return
		}
	}
	p.failures++
	p.askPeer(ctx)
}

// askPeer takes over the proof of a random instance, if that is newer.
func (p *keyProof[L]) askPeer(ctx context.Context) {
	others := p.instance.node.Others()
	if len(others) == 0 {
		return
	}
	other := others[rand.IntN(len(others))]
	evidence, err := p.instance.node.Evidence(ctx, other, nil)
	if err != nil {
		return
	}
	if version, _ := p.instance.directory.Version(); evidence.Configuration > version {
		p.instance.node.Exchange(ctx, other)
	}
	p.instance.confirmRelayed(evidence)
}

// logValidity logs when callers with keys are refused for lack of a proof, and when they are served again.
func (p *keyProof[L]) logValidity(now time.Time) {
	i := p.instance
	lost := i.directory.HasAccounts() && !i.freshness.Valid(now)
	if lost == p.lost {
		return
	}
	p.lost = lost
	message := "keys_confirmed"
	if lost {
		message = "keys_not_confirmed"
	}
	version, _ := i.directory.Version()
	logLine(i.cfg.Logger, "level", "info", "msg", message, "configuration", version, "age_ms", i.freshness.Age(now).Milliseconds(),
		"bound_ms", i.freshness.Bound().Milliseconds())
}

// meterAge updates the gauge of the proof's age.
func (p *keyProof[L]) meterAge(now time.Time) {
	i := p.instance
	age := time.Duration(0)
	if i.needsKeyProof() {
		age = min(i.freshness.Age(now), now.Sub(i.startedAt))
	}
	i.meters.keyProofAge.Update(float64(age.Milliseconds()))
}

// keyCondition is a condition of a transaction that holds only while the configuration in force is the newest one.
type keyCondition struct {
	// expect is empty if no proof is needed or the row of the configuration is not known.
	expect []store.Row
	era    uint64
}

// keyCondition returns the condition that proves the keys, unless there is a recent proof at now.
func (i *Instance[L]) keyCondition(now time.Time) keyCondition {
	if !i.needsKeyProof() || i.freshness.Age(now) < keyProofInterval {
		return keyCondition{}
	}
	version, _ := i.directory.Version()
	at, known := i.configurationRow.Position(version)
	if era, _ := i.era.Current(); !known || at.Era() != era {
		return keyCondition{}
	}
	return i.conditionAt(at)
}

// conditionAt returns the condition that the row of the configuration is the one at a position.
func (i *Instance[L]) conditionAt(at store.Position) keyCondition {
	return keyCondition{era: at.Era(), expect: []store.Row{{
		Table: i.cfg.Adapter.ConfigurationTable, Key: i.cfg.Adapter.ConfigurationKey, Version: at.Version(),
	}}}
}

// provedBy reports whether the answer of a transaction with the condition, which was applied, proves the keys.
//
// In a later era the store may have assigned the version of the row again.
func (c keyCondition) provedBy(committed store.Snapshot) bool {
	return len(c.expect) > 0 && committed.Era <= c.era
}

// confirmKeys confirms the version in force, or applies the newer one that the store holds.
//
// It reports whether the version then in force is confirmed, and fails with the store's error.
func (i *Instance[L]) confirmKeys(ctx context.Context) (confirmed bool, err error) {
	version, _ := i.directory.Version()
	at, known := i.configurationRow.Position(version)
	if era, _ := i.era.Current(); !known || at.Era() != era {
		return false, i.readConfiguration(ctx)
	}
	sentAt := clock.Now()
	condition := i.conditionAt(at)
	s, err := i.cfg.Store.Commit(ctx, store.Tx{Expect: condition.expect})
	if err == nil && condition.provedBy(s) {
		i.confirm(sentAt)
		return true, nil
	}
	if err == nil {
		return false, i.readConfiguration(ctx)
	}
	if fault.KindOf(err) != fault.KindConflict {
		return false, err
	}
	i.applyConfiguration(s)
	version, _ = i.directory.Version()
	row, found := s.Row(i.cfg.Adapter.ConfigurationKey)
	if at, known := i.configurationRow.Position(version); found && known && at == store.NewPosition(s.Era, row.Version) {
		i.confirm(sentAt)
		return true, nil
	}
	return false, i.readConfiguration(ctx)
}

// confirm records that the configuration in force was the newest one as of a time, and lets the heartbeats spread the proof.
func (i *Instance[L]) confirm(asOf time.Time) {
	i.freshness.Confirm(asOf)
	i.node.TableRead(asOf, nil)
}

// takeGossipedProof takes over the proof that heartbeats have brought.
func (i *Instance[L]) takeGossipedProof(now time.Time) {
	if age, ok := i.node.ProofAge(now); ok {
		i.freshness.Confirm(now.Add(-age))
	}
}

// readConfiguration reads the configuration, which may be answered from an older state and so proves nothing by itself.
func (i *Instance[L]) readConfiguration(ctx context.Context) error {
	s, err := i.cfg.Store.All(ctx, i.cfg.Adapter.ConfigurationTable)
	if err == nil {
		i.applyConfiguration(s)
	}
	return err
}

// confirmRelayed takes over the proof of a peer, unless the peer knows a newer configuration.
func (i *Instance[L]) confirmRelayed(evidence peer.LeaseEvidence) {
	version, _ := i.directory.Version()
	if !evidence.ConfirmedAsOf.IsZero() && evidence.Configuration <= version {
		i.confirm(evidence.ConfirmedAsOf)
	}
}
