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

// BindingConfig describes the binding of a customer's database.
type BindingConfig struct {
	Contract      *contract.Contract
	Database      contract.Database
	Group         *engine.Group[*endpoint.Conn]
	CustomerState *CustomerState
}

// Binding is a session's access to one database under a contract.
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

// CustomerState returns the state that the customer's sessions share on this instance.
func (b Binding) CustomerState() *CustomerState { return b.cfg.CustomerState }

// Directory finds the contract in force for a session.
type Directory interface {
	// Find returns the binding of a customer's database; it fails with
	// KindNotFound, or KindStale while the configuration may be out of date.
	Find(customer, database string) (Binding, error)
}

// CustomerState is the state that the sessions of one customer share on an instance; it is safe for concurrent use.
type CustomerState struct {
	mu      sync.Mutex
	budget  *retry.SharedBudget
	callers int
}

// retryBurst is the maximum number of unused retries that a customer's budget accumulates.
const retryBurst = 20

// NewCustomerState returns the state of a customer without sessions, with the contract's retry budget.
func NewCustomerState(r contract.Retries) *CustomerState {
	return &CustomerState{budget: retry.NewSharedBudget(budgetOf(r))}
}

func budgetOf(r contract.Retries) retry.BudgetConfig {
	return retry.BudgetConfig{Ratio: r.Ratio(), PerSecond: r.PerSecond(), Burst: retryBurst}
}

// SetRetries changes the retry budget to that of a new contract revision.
func (c *CustomerState) SetRetries(r contract.Retries) { c.budget.Set(budgetOf(r)) }

// AddCaller adds a session and reports true, unless the number of sessions has reached limit.
func (c *CustomerState) AddCaller(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callers >= limit {
		return false
	}
	c.callers++
	return true
}

// RemoveCaller removes a session that AddCaller added.
func (c *CustomerState) RemoveCaller() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers--
}

// Callers returns the number of sessions.
func (c *CustomerState) Callers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callers
}

func (c *CustomerState) recordRequest() { c.budget.Request() }

func (c *CustomerState) allowRetry(now time.Time) bool { return c.budget.Allow(now) }

// Outcome is the outcome of a request as its caller sees it.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeAnswered means that an endpoint answered the request, with a result or with an error.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
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
	duration time.Duration
	retries  int
}

// Customer returns the customer that sent the request.
func (r Result) Customer() string { return r.customer }

// Class returns whether the request was a read or a write.
func (r Result) Class() route.Class { return r.class }

// Target returns the kind of endpoint that served the request, or TargetNone.
func (r Result) Target() route.Target { return r.target }

// Outcome returns how the request ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Duration returns the time from the last message of the request to the end of its answer.
func (r Result) Duration() time.Duration { return r.duration }

// Retries returns how many times the request was sent again.
func (r Result) Retries() int { return r.retries }

// Recorder records the results of requests; it must be safe for concurrent use.
type Recorder interface {
	// Record records the result of one request.
	Record(r Result)
}
