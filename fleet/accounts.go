package fleet

import (
	"time"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/membership"
)

// Identify returns the client account that holds a key now, or "" if a database needs no account.
//
// It fails with KindUnauthorized if no account holds the key, and with KindStale if
// this instance cannot prove that it knows the newest keys.
func (i *Instance[L]) Identify(database string, key account.Key) (name string, err error) {
	// The proof is read before the keys: one that arrives in between may be the proof of a newer version.
	proved := i.keysProved(clock.Now())
	registry, public := i.directory.Accounts(database)
	if registry == nil {
		return "", nil
	}
	name, known := registry.Lookup(key)
	switch {
	case known && proved:
		return name, nil
	case public:
		return "", nil
	case !proved:
		return "", fault.New(fault.Config{
			Kind:    fault.KindStale,
			Message: "this instance cannot prove that it knows the newest keys; nothing ran",
			Remedy:  "connect through another instance, or try again in a second",
		})
	}
	return "", fault.New(fault.Config{
		Kind:    fault.KindUnauthorized,
		Message: "no client account holds the key; nothing ran",
		Remedy:  "use a key that the configuration lists",
	})
}

// needsKeyProof reports whether callers with keys are served only with a proof that the keys are the newest.
func (i *Instance[L]) needsKeyProof() bool {
	return i.freshness.Bound() > 0 && i.directory.HasAccounts()
}

// keysProved reports whether the keys are proved to be the newest at now, by this instance's own proof or by one that
// heartbeats have brought since it was last checked.
func (i *Instance[L]) keysProved(now time.Time) bool {
	if i.freshness.Valid(now) {
		return true
	}
	i.takeGossipedProof(now)
	return i.freshness.Valid(now)
}

// provesKeys reports whether this instance serves callers with keys; the balancer sends their connections to others while it
// does not.
func (i *Instance[L]) provesKeys() bool {
	return !i.directory.HasAccounts() || i.keysProved(clock.Now())
}

// AccountsRevision returns the version of the configuration, with which the keys may change.
func (i *Instance[L]) AccountsRevision() uint64 {
	version, _ := i.directory.Version()
	return version
}

// accountHomes returns the homes of a group in the order in which the sessions of an account prefer them.
//
// The links and the quota of an account are thereby in one place, as long as that home is reached.
func (i *Instance[L]) accountHomes(group, name string) []membership.Identity {
	homes := i.homes(group)
	i.mu.Lock()
	defer i.mu.Unlock()
	set, ok := i.homesByGroup[group]
	if !ok {
		return homes
	}
	if ordered, cached := set.byAccount[name]; cached {
		return ordered
	}
	// The homes may have been computed again since; the order of earlier ones would remain in the cache of the new set.
	ordered := membership.Homes(accountKey(group, name), set.homes, len(set.homes))
	if len(set.byAccount) < maxCachedAccounts {
		set.byAccount[name] = ordered
	}
	return ordered
}

// accountKey returns the key by which the homes of a group are ordered for an account.
func accountKey(group, name string) string { return "account/" + group + "/" + name }

// maxCachedAccounts bounds the accounts of a group whose order of homes is cached.
const maxCachedAccounts = 1024

// accountShare returns the share of an account's quota that this instance refills: the part of the groups whose first home
// for the account it is.
func (i *Instance[L]) accountShare(name string) float64 {
	groups := i.directory.GroupNames()
	if len(groups) == 0 || !i.knowsFleet() {
		return 0
	}
	first := 0
	for _, group := range groups {
		if home, ok := membership.First(accountKey(group, name), i.homes(group)); ok && home.Name() == i.cfg.Name {
			first++
		}
	}
	return float64(first) / float64(len(groups))
}

// ConfirmedAsOf returns the time as of which the configuration in force is known to be the newest; ok is false without a
// proof.
func (i *Instance[L]) ConfirmedAsOf() (asOf time.Time, ok bool) { return i.freshness.AsOf() }
