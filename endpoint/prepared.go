package endpoint

import "container/list"

// MaxPrepared is the maximum number of prepared statements kept on one connection.
const MaxPrepared = 256

// statementCache holds the names of the statements prepared on a connection and evicts the least recently used.
type statementCache struct {
	order *list.List
	names map[string]*list.Element
}

func newStatementCache() *statementCache {
	return &statementCache{order: list.New(), names: map[string]*list.Element{}}
}

// HasPrepared reports whether the statement is prepared on the connection and marks it as used.
func (c *Conn) HasPrepared(name string) bool {
	e, ok := c.prepared.names[name]
	if ok {
		c.prepared.order.MoveToBack(e)
	}
	return ok
}

// AddPrepared records a prepared statement and returns the name of the evicted statement, or "" when none is evicted.
//
// The caller must close the evicted statement on the endpoint.
func (c *Conn) AddPrepared(name string) (evicted string) {
	p := c.prepared
	p.names[name] = p.order.PushBack(name)
	if p.order.Len() <= MaxPrepared {
		return ""
	}
	oldest := p.order.Front()
	evicted, _ = p.order.Remove(oldest).(string)
	delete(p.names, evicted)
	return evicted
}

// RemovePrepared removes the record of a statement whose preparation failed.
func (c *Conn) RemovePrepared(name string) {
	if e, ok := c.prepared.names[name]; ok {
		c.prepared.order.Remove(e)
		delete(c.prepared.names, name)
	}
}

// ClearPrepared removes the records of all statements, which DISCARD ALL has deallocated on the endpoint.
func (c *Conn) ClearPrepared() { c.prepared = newStatementCache() }
