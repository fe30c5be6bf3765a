package fleet

import (
	"maps"
	"slices"
	"sync"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/retry"
)

// retryBurst is the maximum number of unused retries that a database's budget accumulates.
const retryBurst = 20

// directory holds the configuration in force; it is safe for concurrent use.
type directory[L Link[L]] struct {
	mu       sync.RWMutex
	document Document
	known    bool
	// groupNames are the names of the document's groups, sorted.
	groupNames []string
	budgets    map[string]*retry.SharedBudget
	// group returns the group of that name if this instance watches it, or nil.
	group func(name string) *engine.Group[L]
}

// Apply puts a version into force unless the current one is the same or newer, and reports whether it did.
//
// A database that had a contract before keeps its retry budget, with the rates of the earlier contract.
func (d *directory[L]) Apply(doc Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known && doc.Version <= d.document.Version {
		return false
	}
	budgets := map[string]*retry.SharedBudget{}
	for name, c := range doc.Contracts {
		budgets[name] = d.budgets[name]
		if budgets[name] == nil {
			budgets[name] = newBudget(c.Retries())
		}
	}
	d.budgets = budgets
	d.document = doc
	d.groupNames = slices.Sorted(maps.Keys(doc.Groups))
	d.known = true
	return true
}

func newBudget(r contract.Retries) *retry.SharedBudget {
	return retry.NewSharedBudget(retry.BudgetConfig{Ratio: r.Ratio(), PerSecond: r.PerSecond(), Burst: retryBurst})
}

// Version returns the version in force; known is false before the first one.
func (d *directory[L]) Version() (version uint64, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.document.Version, d.known
}

// Group returns the configuration of a database group.
func (d *directory[L]) Group(name string) (GroupSettings, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, ok := d.document.Groups[name]
	return g, ok
}

// Accounts returns the client accounts, or nil if callers need no key, and whether a database can be used without a key.
func (d *directory[L]) Accounts(database string) (r *account.Registry, public bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.document.Accounts, d.document.Public[database]
}

// AccountsOf returns the client accounts, or nil if callers need no key, and the version of the configuration.
func (d *directory[L]) AccountsOf() (r *account.Registry, version uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.document.Accounts, d.document.Version
}

// HasAccounts reports whether callers need keys.
func (d *directory[L]) HasAccounts() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.document.Accounts != nil
}

// GroupNames returns the names of the database groups, sorted.
func (d *directory[L]) GroupNames() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.groupNames
}

// Contract returns the contract of a database.
func (d *directory[L]) Contract(database string) (*contract.Contract, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	c, ok := d.document.Contracts[database]
	return c, ok
}

// ContractTerms returns the contract in force for a database, with its group and its retry budget.
func (d *directory[L]) ContractTerms(database string) (engine.ContractTerms[L], error) {
	t, known := d.lookUp(database)
	if !known {
		return engine.ContractTerms[L]{}, fault.New(fault.Config{
			Kind:    fault.KindStale,
			Message: "this instance has not received its configuration yet; nothing ran",
			Remedy:  "connect through another instance, or try again in a second",
		})
	}
	if t.Contract == nil {
		return engine.ContractTerms[L]{}, fault.New(fault.Config{
			Kind:    fault.KindNotFound,
			Message: "no contract names the database " + database + "; nothing ran",
			Remedy:  "connect to a database that the configuration names",
		})
	}
	t.Group = d.group(t.Contract.Databases()[0].Group())
	if t.Group == nil {
		return engine.ContractTerms[L]{}, fault.New(fault.Config{
			Kind:    fault.KindUnavailable,
			Message: "no endpoint of the database " + database + " is known yet; nothing ran",
			Remedy:  "try again in a second",
		})
	}
	return t, nil
}

// lookUp returns the terms without their group; known is false before the first configuration.
//
// The caller looks the group up after lookUp has released the lock, to avoid a deadlock: the groups have a lock of their
// own, under which they read the configuration, and an Apply that waits for the write lock blocks these reads.
func (d *directory[L]) lookUp(database string) (t engine.ContractTerms[L], known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return engine.ContractTerms[L]{
		Contract: d.document.Contracts[database], Retries: d.budgets[database], Revision: d.document.Version,
	}, d.known
}
