package engine

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/pool"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// ContractTerms holds the contract in force for a session, with the group and the retry budget that it grants.
type ContractTerms[L Link[L]] struct {
	Contract *contract.Contract
	Group    *Group[L]
	Retries  *retry.SharedBudget
	// Revision is the revision of the configuration that contains the contract.
	Revision uint64
}

// ContractSource finds the contract in force for a database.
type ContractSource[L Link[L]] interface {
	// ContractTerms returns the terms for a database.
	//
	// It fails with KindNotFound, or with KindStale before any configuration is known.
	ContractTerms(database string) (ContractTerms[L], error)
}

// SessionConfig configures the session of one caller.
type SessionConfig[L StatementLink[L]] struct {
	ID       string
	Database string
	// Floors holds the log points that the session has already reached through another instance, or is nil.
	Floors   *group.Floors
	Source   ContractSource[L]
	Policy   route.Policy
	Recorder SessionRecorder
	Clock    func() time.Time
	// Account is the client account of the session, or "" if it has none; the session uses links of that account only.
	Account string
	// Admission limits the operations of client accounts; nil admits all.
	Admission Admission
}

// Admission limits the operations of client accounts; it must be safe for concurrent use.
type Admission interface {
	// Admit takes the admission of one operation, and may wait for it until the given times.
	//
	// It fails with KindOverloaded; the remedy of the error names the time after which to try again.
	Admit(ctx context.Context, account string, wait AdmissionWait) error
	// Return gives back the admission of an operation that was sent to no endpoint.
	Return(account string)
}

// AdmissionWait bounds how long an operation waits for its admission.
type AdmissionWait struct {
	Until time.Time
	// UntilAtStart is the bound on an instance that has just started.
	UntilAtStart time.Time
}

// SessionRecorder records the outcome of each statement that needs an endpoint; it must be safe for concurrent use.
//
// Statements that are refused before they are routed, for example because the
// database is unknown, are not recorded.
type SessionRecorder interface {
	// Record records one outcome.
	Record(r Record)
}

// Record is the outcome of a statement and the inputs that led to it.
type Record struct {
	Session  string
	Request  string
	Database string
	// Account is the client account of the session, or "".
	Account  string
	Group    string
	Op       Op
	Endpoint string
	Target   route.Target
	Floor    group.Point
	Retries  int
	// Failures describes the failed attempts.
	Failures []string
	Duration time.Duration
	// Objective is the latency objective of the contract.
	Objective time.Duration
	Revision  uint64
	// Refusal is nil for a success.
	Refusal *Refusal
}

// Session runs the statements of one caller; it is not safe for concurrent use.
type Session[L StatementLink[L]] struct {
	cfg      SessionConfig[L]
	values   map[string]string
	prepared map[string]*preparedStatement
	// floors holds the point of the session's newest commit in each log, or is nil before the first one.
	floors *group.Floors
	terms  ContractTerms[L]
	tx     *transaction[L]
	// commands and answers are buffers that are reused for each statement.
	commands []Command
	answers  []Answer
}

// NewSession returns a session without values, prepared statements or transaction.
func NewSession[L StatementLink[L]](cfg SessionConfig[L]) *Session[L] {
	return &Session[L]{cfg: cfg, floors: cfg.Floors.Clone(), values: map[string]string{}, prepared: map[string]*preparedStatement{}}
}

// State returns the transaction state between two statements.
func (s *Session[L]) State() TxState {
	switch {
	case s.tx == nil:
		return TxNone
	case s.tx.failed:
		return TxFailed
	}
	return TxOpen
}

// Account returns the client account of the session, or "".
func (s *Session[L]) Account() string { return s.cfg.Account }

// SetAccount continues the session under another client account; an open transaction is rolled back.
func (s *Session[L]) SetAccount(name string) {
	if s.tx != nil && !s.tx.failed {
		s.rollback()
		s.markFailed("the key of the session moved to another client account; the transaction was rolled back")
	}
	s.cfg.Account = name
}

// Reject refuses a statement before it runs, and rolls back the open transaction.
func (s *Session[L]) Reject(st Statement, reason Reason, text string) Answer {
	if s.tx == nil {
		return refuse(reason, text, TxNone)
	}
	if !s.tx.failed {
		s.rollback()
		s.markFailed(text)
	}
	if st.Op == OpCommit || st.Op == OpRollback {
		s.tx = nil
	}
	if reason == ReasonOverloaded {
		reason = ReasonAborted
	}
	return refuse(reason, text, s.State())
}

// Floors returns a copy of the points of the session's newest commit in each log, or nil if it has committed nothing.
func (s *Session[L]) Floors() *group.Floors { return s.floors.Clone() }

// raiseFloor records the point of a commit in the log of the session's group; an answer without a point changes nothing.
func (s *Session[L]) raiseFloor(p group.Point) {
	if p.IsZero() {
		return
	}
	if s.floors == nil {
		s.floors = &group.Floors{}
	}
	s.floors.Set(s.terms.Group.Log(), p)
}

// Log identifies the log to which the point of the last answer belongs.
func (s *Session[L]) Log() group.Log {
	if s.terms.Group == nil {
		return group.Log{}
	}
	return s.terms.Group.Log()
}

// HoldsLink reports whether the session holds a link in an open transaction.
func (s *Session[L]) HoldsLink() bool { return s.tx != nil && s.tx.open }

// TransactionIdle returns how long the open transaction may wait for its next statement.
func (s *Session[L]) TransactionIdle() time.Duration {
	return s.terms.Contract.Limits().TransactionIdle()
}

// Execute runs one statement that arrived at receivedAt and returns its answer.
func (s *Session[L]) Execute(ctx context.Context, st Statement, receivedAt time.Time) Answer {
	if s.tx != nil {
		return s.inTransaction(ctx, st, receivedAt)
	}
	switch st.Op {
	case OpCommit, OpRollback:
		return refuse(ReasonMalformed, "no transaction is open; begin one first", TxNone)
	case OpBegin, OpBeginRead:
		return s.begin(st, receivedAt)
	case OpRead, OpWrite, OpExecute:
		return s.runSingle(ctx, st, receivedAt)
	}
	return s.runLocal(st)
}

// runLocal runs a statement that changes only the session.
func (s *Session[L]) runLocal(st Statement) Answer {
	switch st.Op {
	case OpSet:
		s.values[st.Name] = st.Argument
	case OpPrepare:
		s.prepared[st.Name] = newPrepared(st.Argument, st.Writes)
	case OpDeallocate:
		delete(s.prepared, st.Name)
	default:
		return refuse(ReasonMalformed, "the statement is not supported", s.State())
	}
	return done(s.State())
}

// begin opens a transaction, which acquires a link only with its first statement.
func (s *Session[L]) begin(st Statement, receivedAt time.Time) Answer {
	if err := s.bind(); err != nil {
		return s.refusal(st, err, TxNone)
	}
	s.tx = &transaction[L]{readOnly: st.Op == OpBeginRead, startedAt: receivedAt}
	return done(TxOpen)
}

// bind loads the terms in force now.
func (s *Session[L]) bind() error {
	t, err := s.cfg.Source.ContractTerms(s.cfg.Database)
	if err != nil {
		return err
	}
	s.terms = t
	return nil
}

// runSingle runs a statement outside a transaction.
func (s *Session[L]) runSingle(ctx context.Context, st Statement, receivedAt time.Time) Answer {
	if err := s.bind(); err != nil {
		return s.refusal(st, err, TxNone)
	}
	j, refused := s.newJob(st, receivedAt)
	if refused != nil {
		return *refused
	}
	h, e, err := s.serve(ctx, j)
	if err != nil {
		return s.record(j, e, h, s.refusal(st, err, TxNone))
	}
	h.Release()
	return s.record(j, e, h, j.answer)
}

// newJob returns the job of a statement; refused is set if its prepared statement is unknown.
func (s *Session[L]) newJob(st Statement, receivedAt time.Time) (j *job[L], refused *Answer) {
	j = &job[L]{session: s, statement: st, receivedAt: receivedAt, writes: st.Op == OpWrite}
	if st.Op == OpExecute {
		j.preparedStmt = s.prepared[st.Name]
		if j.preparedStmt == nil {
			a := refuse(ReasonUnknownStatement, st.Name+" is not prepared; prepare it in this session first", s.State())
			return nil, &a
		}
		j.writes = j.preparedStmt.writes
	}
	j.deadline = receivedAt.Add(s.terms.Contract.Limits().RequestTimeout())
	return j, nil
}

// serve executes a job.
func (s *Session[L]) serve(ctx context.Context, j *job[L]) (HeldLink[L], *Execution[L], error) {
	c := s.terms.Contract
	target := pool.Target(j.receivedAt, c.Objectives().Latency(), c.Limits().RequestTimeout())
	if err := s.admit(ctx, j.receivedAt); err != nil {
		return HeldLink[L]{}, nil, err
	}
	e := NewExecution(ExecutionConfig[L]{
		Group:  s.terms.Group,
		Policy: s.cfg.Policy,
		AcquireRequest: AcquireRequest{
			Customer:   c.Customer(),
			Key:        s.cfg.Account,
			Account:    s.cfg.Account,
			QueueLimit: c.Limits().QueueLength(),
			Deadline:   target,
			MaxIdle:    noIdleCheck,
			Priority:   c.Limits().Priority(),
			Target:     target,
		},
		Deadline:      j.deadline,
		LeaseDeadline: j.receivedAt.Add(time.Duration(leaseShare * float64(c.Limits().RequestTimeout()))),
		Grace:         time.Duration(graceShare * float64(c.Objectives().Latency())),
		Idempotent:    !j.writes || s.tx != nil,
		Backoff:       retry.NewBackoff(retry.BackoffConfig{FirstBackoff: c.Retries().FirstBackoff(), MaxBackoff: c.Retries().MaxBackoff()}),
		AllowRetry:    s.terms.Retries.Allow,
	})
	s.terms.Retries.Request()
	h, err := e.Serve(ctx, j)
	if err != nil && s.cfg.Admission != nil && e.Target() == route.TargetNone {
		s.cfg.Admission.Return(s.cfg.Account)
	}
	return h, e, err
}

// admissionShare is the fraction of the latency objective for which an operation may wait for its admission: a caller that
// is refused by then can still try again within the objective.
const admissionShare = 0.22

// admit takes the admission of an operation that arrived at receivedAt.
func (s *Session[L]) admit(ctx context.Context, receivedAt time.Time) error {
	if s.cfg.Admission == nil {
		return nil
	}
	c := s.terms.Contract
	return s.cfg.Admission.Admit(ctx, s.cfg.Account, AdmissionWait{
		Until:        receivedAt.Add(time.Duration(admissionShare * float64(c.Objectives().Latency()))),
		UntilAtStart: receivedAt.Add(time.Duration(leaseShare * float64(c.Limits().RequestTimeout()))),
	})
}

const (
	// leaseShare is the fraction of the request timeout that a request may wait for a primary, or for its admission on an
	// instance that has just started. The rest is left for the request itself, or for the caller to retry after a refusal.
	leaseShare = 0.45
	// graceShare is the fraction of the latency objective that is allowed for acquiring a link, however long the
	// request has waited for a primary.
	graceShare = 0.3
)

// noIdleCheck disables the check of idle links: a lost link is detected when it is used.
const noIdleCheck = time.Hour

// refusal turns an error of the proxy into an answer with its message and remedy, such as when to retry.
func (s *Session[L]) refusal(st Statement, err error, state TxState) Answer {
	e := fault.As(err)
	reason := ReasonOverloaded
	switch {
	case e.Kind() == fault.KindNotFound:
		reason = ReasonNoDatabase
	case e.Kind().Effect() == fault.EffectUnknown && st.Op != OpRead:
		reason = ReasonInDoubt
	}
	return refuse(reason, e.Message()+"; "+e.Remedy(), state)
}

// record reports the outcome of a statement and returns its answer.
func (s *Session[L]) record(j *job[L], e *Execution[L], h HeldLink[L], a Answer) Answer {
	if s.cfg.Recorder == nil {
		return a
	}
	r := Record{
		Session:   s.cfg.ID,
		Request:   j.statement.ID,
		Database:  s.cfg.Database,
		Account:   s.cfg.Account,
		Group:     s.terms.Group.Name(),
		Op:        j.statement.Op,
		Endpoint:  j.endpoint,
		Floor:     h.Request.Floor,
		Duration:  s.cfg.Clock().Sub(j.receivedAt),
		Objective: s.terms.Contract.Objectives().Latency(),
		Revision:  s.terms.Revision,
		Refusal:   a.Refusal,
	}
	if e != nil {
		r.Target = e.Target()
		r.Retries = e.Retries()
		r.Failures = e.Failures()
	}
	s.cfg.Recorder.Record(r)
	return a
}

// Close ends the session and rolls an open transaction back.
func (s *Session[L]) Close() {
	if s.tx != nil {
		s.rollback()
		s.tx = nil
	}
}
