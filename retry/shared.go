package retry

import (
	"sync"
	"time"
)

// SharedBudget is a Budget that is safe for concurrent use.
type SharedBudget struct {
	mu     sync.Mutex
	budget *Budget
}

// NewSharedBudget returns a full budget.
func NewSharedBudget(cfg BudgetConfig) *SharedBudget {
	return &SharedBudget{budget: NewBudget(cfg)}
}

// Set replaces the budget by a full one.
func (b *SharedBudget) Set(cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget = NewBudget(cfg)
}

// Request credits the budget for one new request.
func (b *SharedBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request()
}

// Allow consumes one retry of the budget at now, and reports whether the budget held one.
func (b *SharedBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(now)
}
