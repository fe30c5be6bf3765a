package contract

import (
	"time"

	"github.com/monsoontiller/monsoontiller/scram"
)

// Database is a database that a customer may use, with the logins for its callers and endpoints.
type Database struct {
	name        string
	group       string
	user        string
	password    string
	verifier    scram.Verifier
	hasVerifier bool
}

// Name returns the database name with which callers connect.
func (d Database) Name() string { return d.name }

// Group returns the database group that holds the database.
func (d Database) Group() string { return d.group }

// User returns the user name for logins to endpoints.
func (d Database) User() string { return d.user }

// Password returns the password for logins to endpoints; it must not be logged.
func (d Database) Password() string { return d.password }

// Verifier returns the SCRAM verifier for callers; ok is false when callers need no password.
func (d Database) Verifier() (v scram.Verifier, ok bool) { return d.verifier, d.hasVerifier }

// Limits bounds the load and the waits of a customer on one instance.
type Limits struct {
	callers        int
	queueLength    int
	queueTimeout   time.Duration
	requestTimeout time.Duration
	idleCheck      time.Duration
	txIdle         time.Duration
	priority       int
}

// Priority returns the rank of the customer where requests compete; 0 is served first.
func (l Limits) Priority() int { return l.priority }

// Callers returns the maximum number of caller connections per instance.
func (l Limits) Callers() int { return l.callers }

// QueueLength returns the maximum number of requests that may wait for one endpoint.
func (l Limits) QueueLength() int { return l.queueLength }

// QueueTimeout returns how long a request may wait for a connection.
func (l Limits) QueueTimeout() time.Duration { return l.queueTimeout }

// RequestTimeout returns how long a request may take, including all waits and retries.
func (l Limits) RequestTimeout() time.Duration { return l.requestTimeout }

// TransactionIdle returns how long an open transaction may wait for the next message of its caller.
func (l Limits) TransactionIdle() time.Duration { return l.txIdle }

// IdleCheck returns for how long a connection may be unused without being checked before its next use.
func (l Limits) IdleCheck() time.Duration { return l.idleCheck }

// Consistency is the consistency guarantee of reads.
type Consistency uint8

// The consistency guarantees of reads.
const (
	// ConsistencySession means that reads see the session's own writes.
	ConsistencySession Consistency = iota
	// ConsistencyPrimary means that reads see every acknowledged write.
	ConsistencyPrimary
	// ConsistencyBounded means that reads see data of a bounded age.
	ConsistencyBounded
)

// Reads holds the rules for reads.
type Reads struct {
	consistency  Consistency
	defaultRead  bool
	maxStaleness time.Duration
	replicaWait  time.Duration
}

// Consistency returns the guarantee of reads, to which MaxStaleness adds an age limit.
func (r Reads) Consistency() Consistency { return r.consistency }

// DefaultRead reports whether a statement without a class hint counts as a read.
func (r Reads) DefaultRead() bool { return r.defaultRead }

// MaxStaleness returns the age limit of reads without a hint that sets one; 0 means no limit.
func (r Reads) MaxStaleness() time.Duration { return r.maxStaleness }

// ReplicaWait returns how long a read may wait for a replica to catch up.
func (r Reads) ReplicaWait() time.Duration { return r.replicaWait }

// Retries holds the retry rules.
type Retries struct {
	ratio     float64
	perSecond float64
	first     time.Duration
	max       time.Duration
}

// Ratio returns how many retries each request adds to the retry budget.
func (r Retries) Ratio() float64 { return r.ratio }

// PerSecond returns how many retries each second adds to the retry budget.
func (r Retries) PerSecond() float64 { return r.perSecond }

// FirstBackoff returns the upper bound of the first backoff.
func (r Retries) FirstBackoff() time.Duration { return r.first }

// MaxBackoff returns the upper bound of every backoff.
func (r Retries) MaxBackoff() time.Duration { return r.max }

// Replication is the rule for whether the acknowledgement of a write waits for a replica.
type Replication uint8

// The rules for acknowledging a write.
const (
	// ReplicationWait waits for a replica for a bounded time, and then acknowledges the write without one.
	ReplicationWait Replication = iota
	// ReplicationRequired waits for a replica until the timeout of the request.
	ReplicationRequired
	// ReplicationOff does not wait.
	ReplicationOff
)

// Writes holds the rules for writes.
type Writes struct {
	replication Replication
	wait        time.Duration
}

// Replication returns the rule for whether acknowledgements wait for a replica.
func (w Writes) Replication() Replication { return w.replication }

// MaxWait returns how long an acknowledgement waits for a replica under ReplicationWait.
func (w Writes) MaxWait() time.Duration { return w.wait }

// Objectives holds the service-level objectives that the burn report measures.
type Objectives struct {
	success      float64
	replicaShare float64
	latency      time.Duration
	failoverGap  time.Duration
}

// Success returns the share of requests that must succeed.
func (o Objectives) Success() float64 { return o.success }

// ReplicaShare returns the share of reads that replicas must serve.
func (o Objectives) ReplicaShare() float64 { return o.replicaShare }

// Latency returns the time within which the share Success of the requests must be answered.
func (o Objectives) Latency() time.Duration { return o.latency }

// FailoverGap returns the longest time that writes may be impossible after the loss of a primary.
func (o Objectives) FailoverGap() time.Duration { return o.failoverGap }

// Contract holds one customer's databases, limits, rules and objectives.
type Contract struct {
	customer   string
	databases  []Database
	limits     Limits
	reads      Reads
	writes     Writes
	retries    Retries
	drain      time.Duration
	objectives Objectives
}

// Customer returns the customer's name.
func (c *Contract) Customer() string { return c.customer }

// Databases returns the customer's databases.
func (c *Contract) Databases() []Database { return append([]Database(nil), c.databases...) }

// Database returns the database of the given name; ok is false if the contract has none.
func (c *Contract) Database(name string) (d Database, ok bool) {
	for _, d := range c.databases {
		if d.name == name {
			return d, true
		}
	}
	return Database{}, false
}

// Limits returns the customer's limits.
func (c *Contract) Limits() Limits { return c.limits }

// Reads returns the rules for reads.
func (c *Contract) Reads() Reads { return c.reads }

// Writes returns the rules for writes.
func (c *Contract) Writes() Writes { return c.writes }

// Retries returns the retry rules.
func (c *Contract) Retries() Retries { return c.retries }

// DrainTimeout returns how long a stopping instance waits for open transactions.
func (c *Contract) DrainTimeout() time.Duration { return c.drain }

// Objectives returns the service-level objectives.
func (c *Contract) Objectives() Objectives { return c.objectives }
