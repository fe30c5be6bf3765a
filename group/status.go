package group

// Role states whether a member is primary or replica in its term.
type Role uint8

// The roles of a member.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	}
	return "unknown"
}

// ParseRole returns the role named s, or RoleUnknown for any other text.
func ParseRole(s string) Role {
	switch s {
	case "primary":
		return RolePrimary
	case "replica":
		return RoleReplica
	}
	return RoleUnknown
}

// StatusConfig lists the fields of a member's status report.
type StatusConfig struct {
	Endpoint string
	Role     Role
	Point    Point
	// Received is the end of the log that the member holds, applied or not; zero means Point.
	Received Point
	Promised Term
	Attempt  string
	History  History
	// Busy is the number of running requests and Connections that of open connections; 0 if the member does not
	// report them.
	Busy        int
	Connections int
}

// Status is one status report of a member.
type Status struct {
	cfg StatusConfig
}

// NewStatus returns the status described by cfg.
func NewStatus(cfg StatusConfig) Status { return Status{cfg: cfg} }

// Endpoint returns the name of the member that reported.
func (s Status) Endpoint() string { return s.cfg.Endpoint }

// Role returns the member's role in its term.
func (s Status) Role() Role { return s.cfg.Role }

// Point returns the end of the log that reads of the member see.
func (s Status) Point() Point { return s.cfg.Point }

// Received returns the end of the log that the member holds; as primary, it would continue from there.
func (s Status) Received() Point {
	if s.cfg.Received.IsZero() {
		return s.cfg.Point
	}
	return s.cfg.Received
}

// WithAttempt returns the status with the promotion attempt that holds the promise.
func (s Status) WithAttempt(attempt string) Status {
	s.cfg.Attempt = attempt
	return s
}

// Promised returns the term that the member has promised: it takes part in no lower one.
func (s Status) Promised() Term { return s.cfg.Promised }

// Attempt returns the promotion attempt that holds the promise.
func (s Status) Attempt() string { return s.cfg.Attempt }

// WithPoint returns the status of a member whose log has grown to p.
func (s Status) WithPoint(p Point) Status {
	s.cfg.Point = p
	s.cfg.Received = p
	return s
}

// WithPromise returns the status with a promise to term, unless it already holds one to a higher term.
func (s Status) WithPromise(term Term) Status {
	s.cfg.Promised = max(s.cfg.Promised, term)
	return s
}

// History returns the term starts that the member knows.
func (s Status) History() History { return s.cfg.History }

// Busy returns the number of requests that the member was running, or 0 if it does not report it.
func (s Status) Busy() int { return s.cfg.Busy }

// Connections returns the number of the member's connections, or 0 if it does not report it.
func (s Status) Connections() int { return s.cfg.Connections }

// Confirms reports whether the member still takes part in term t: it is in t and has promised no higher term.
func (s Status) Confirms(t Term) bool {
	return s.cfg.Point.Term() == t && s.cfg.Promised <= t
}
