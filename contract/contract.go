package contract

import (
	"time"

	"github.com/monsoontiller/monsoontiller/scram"
)

// Database names one database that a customer may use.
type Database struct {
	name     string
	group    string
	user     string
	password string
	verifier scram.Verifier
	hasLogin bool
}

// Name returns the name by which callers connect.
func (d Database) Name() string { return d.name }

// Group returns the database group that holds the database.
func (d Database) Group() string { return d.group }

// User returns the user name for endpoints.
func (d Database) User() string { return d.user }

// Password returns the password for endpoints; it must not be logged.
func (d Database) Password() string { return d.password }

// Verifier returns the SCRAM verifier for callers; ok is false when callers need no password.
func (d Database) Verifier() (v scram.Verifier, ok bool) { return d.verifier, d.hasLogin }

// Limits bounds what a customer may use at once on one instance.
type Limits struct {
	callers        int
	queueLength    int
	queueTimeout   time.Duration
	requestTimeout time.Duration
	idleCheck      time.Duration
	txIdle         time.Duration
	priority       int
}

// Priority returns the customer's place where requests compete; 0 goes first.
func (l Limits) Priority() int { return l.priority }

// Callers returns the most caller connections per instance.
func (l Limits) Callers() int { return l.callers }

// QueueLength returns the most requests that may wait for one endpoint.
func (l Limits) QueueLength() int { return l.queueLength }

// QueueTimeout returns how long a request may wait for a connection.
func (l Limits) QueueTimeout() time.Duration { return l.queueTimeout }

// RequestTimeout returns how long a request may take in all.
func (l Limits) RequestTimeout() time.Duration { return l.requestTimeout }

// TransactionIdle returns how long an open transaction may wait for its caller.
func (l Limits) TransactionIdle() time.Duration { return l.txIdle }

// IdleCheck returns how long a connection may be unused before it is checked again.
func (l Limits) IdleCheck() time.Duration { return l.idleCheck }

// Consistency says what reads of a customer must see.
type Consistency uint8

// The rules for what a read must see.
const (
	// ConsistencySession reads see the session's own writes.
	ConsistencySession Consistency = iota
	// ConsistencyPrimary reads see every acknowledged write.
	ConsistencyPrimary
	// ConsistencyBounded reads see data of a stated greatest age.
	ConsistencyBounded
)

// Reads sets the rules for reads.
type Reads struct {
	consistency  Consistency
	defaultRead  bool
	maxStaleness time.Duration
	replicaWait  time.Duration
}

// Consistency returns what reads must see, besides the age limit.
func (r Reads) Consistency() Consistency { return r.consistency }

// DefaultRead reports whether an unmarked statement counts as a read.
func (r Reads) DefaultRead() bool { return r.defaultRead }

// MaxStaleness returns the age limit of reads that state none; 0 means no limit.
func (r Reads) MaxStaleness() time.Duration { return r.maxStaleness }

// ReplicaWait returns how long a read may wait for a replica to catch up.
func (r Reads) ReplicaWait() time.Duration { return r.replicaWait }

// Retries sets the retry rules.
type Retries struct {
	ratio     float64
	perSecond float64
	first     time.Duration
	max       time.Duration
}

// Ratio returns how many retries each request earns.
func (r Retries) Ratio() float64 { return r.ratio }

// PerSecond returns how many retries are allowed per second besides.
func (r Retries) PerSecond() float64 { return r.perSecond }

// First returns the ceiling of the first backoff.
func (r Retries) First() time.Duration { return r.first }

// Max returns the ceiling of every backoff.
func (r Retries) Max() time.Duration { return r.max }

// Replication says whether the acknowledgement of a write waits for a replica.
type Replication uint8

// The rules for acknowledging a write.
const (
	// ReplicationWait waits for a replica, but for a bounded time.
	ReplicationWait Replication = iota
	// ReplicationRequired waits for a replica as long as the request may take.
	ReplicationRequired
	// ReplicationOff does not wait.
	ReplicationOff
)

// Writes sets the rules for writes.
type Writes struct {
	replication Replication
	wait        time.Duration
}

// Replication returns whether acknowledgements wait for a replica.
func (w Writes) Replication() Replication { return w.replication }

// Wait returns how long an acknowledgement waits for a replica under ReplicationWait.
func (w Writes) Wait() time.Duration { return w.wait }

// Objectives are the service levels that the burn report measures.
type Objectives struct {
	success      float64
	replicaShare float64
	latency      time.Duration
	failoverGap  time.Duration
}

// Success returns the share of requests that must be answered.
func (o Objectives) Success() float64 { return o.success }

// ReplicaShare returns the share of reads that replicas must serve.
func (o Objectives) ReplicaShare() float64 { return o.replicaShare }

// Latency returns the time within which the success share must be answered.
func (o Objectives) Latency() time.Duration { return o.latency }

// FailoverGap returns the longest time that writes may be impossible after a loss.
func (o Objectives) FailoverGap() time.Duration { return o.failoverGap }

// Contract is one customer's contract.
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

// Database returns the database that callers name; ok is false when the contract has none of that name.
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
