package caller

import (
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// BindingConfig lists what a database of a customer is bound to.
type BindingConfig struct {
	Contract *contract.Contract
	Database contract.Database
	Group    *engine.Group[*endpoint.Conn]
	Account  *Account
}

// Binding is what a contract grants to a session on one database.
type Binding struct {
	cfg BindingConfig
}

// NewBinding returns the binding described by cfg.
func NewBinding(cfg BindingConfig) Binding { return Binding{cfg: cfg} }

// Contract returns the contract in force.
func (b Binding) Contract() *contract.Contract { return b.cfg.Contract }

// Database returns the database as the contract names it.
func (b Binding) Database() contract.Database { return b.cfg.Database }

// Group returns the group that holds the database.
func (b Binding) Group() *engine.Group[*endpoint.Conn] { return b.cfg.Group }

// Account returns what the customer's sessions share on this instance.
func (b Binding) Account() *Account { return b.cfg.Account }

// Directory finds the contract in force for a session.
type Directory interface {
	// Find returns the binding of a customer's database; it fails with
	// KindNotFound, or KindStale while the configuration may be out of date.
	Find(customer, database string) (Binding, error)
}

// Account is shared by the sessions of one customer; it is safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	budget  *retry.SharedBudget
	callers int
}

// retryBurst is the most retries that a customer can save up.
const retryBurst = 20

// NewAccount returns an account with the contract's retry budget.
func NewAccount(r contract.Retries) *Account {
	return &Account{budget: retry.NewSharedBudget(budgetOf(r))}
}

func budgetOf(r contract.Retries) retry.BudgetConfig {
	return retry.BudgetConfig{Ratio: r.Ratio(), PerSecond: r.PerSecond(), Burst: retryBurst}
}

// SetRetries changes the retry budget to that of a new contract revision.
func (a *Account) SetRetries(r contract.Retries) { a.budget.Set(budgetOf(r)) }

// Enter counts a session in and reports whether limit allows it.
func (a *Account) Enter(limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.callers >= limit {
		return false
	}
	a.callers++
	return true
}

// Leave counts a session out.
func (a *Account) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers--
}

// Callers returns the number of sessions.
func (a *Account) Callers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.callers
}

func (a *Account) request() { a.budget.Request() }

func (a *Account) allowRetry(now time.Time) bool { return a.budget.Allow(now) }

// Outcome says how a request ended for its caller.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
)

// String returns the outcome in snake case.
func (o Outcome) String() string {
	return [...]string{"answered", "not_run", "unknown"}[o]
}

// Result describes one finished request.
type Result struct {
	customer string
	class    route.Class
	target   route.Target
	outcome  Outcome
	took     time.Duration
	retries  int
}

// Customer returns whose request it was.
func (r Result) Customer() string { return r.customer }

// Class returns whether it was a read.
func (r Result) Class() route.Class { return r.class }

// Target returns where it was served, or TargetNone.
func (r Result) Target() route.Target { return r.target }

// Outcome returns how it ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Took returns the time from its last message to the end of its answer.
func (r Result) Took() time.Duration { return r.took }

// Retries returns how many times it was sent again.
func (r Result) Retries() int { return r.retries }

// Recorder takes the results of requests; it must be safe for concurrent use.
type Recorder interface {
	// Record takes the result of one request.
	Record(r Result)
}
