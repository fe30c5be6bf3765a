package endpoint

import "container/list"

// MaxPrepared is the number of prepared statements kept on one connection.
const MaxPrepared = 256

// statementCache is the set of statements prepared on a connection, least recently used first out.
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

// AddPrepared records a statement and returns the name of one to close in exchange, or "".
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

// RemovePrepared forgets a statement whose preparation failed.
func (c *Conn) RemovePrepared(name string) {
	if e, ok := c.prepared.names[name]; ok {
		c.prepared.order.Remove(e)
		delete(c.prepared.names, name)
	}
}

// ForgetPrepared forgets all statements, after DISCARD ALL.
func (c *Conn) ForgetPrepared() { c.prepared = newStatementCache() }
