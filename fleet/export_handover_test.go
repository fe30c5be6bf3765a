package fleet

// WithOthers sets the number of the other instances, and returns the lease.
func (l *CoordinatorLease) WithOthers(n int) *CoordinatorLease {
	l.lease.cfg.Others = func() int { return n }
	return l
}

// OrderEnded records the result of an order.
func (l *CoordinatorLease) OrderEnded(err error) { l.lease.OrderEnded(err) }
