package group

// Role is the part that a member plays in its term.
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

// StatusConfig lists what a member reports of itself.
type StatusConfig struct {
	Endpoint string
	Role     Role
	Point    Point
	Promised Term
	Attempt  string
	History  History
}

// Status is one member's report of itself.
type Status struct {
	cfg StatusConfig
}

// NewStatus returns the status described by cfg.
func NewStatus(cfg StatusConfig) Status { return Status{cfg: cfg} }

// Endpoint returns the name of the member that reported.
func (s Status) Endpoint() string { return s.cfg.Endpoint }

// Role returns the member's role in its term.
func (s Status) Role() Role { return s.cfg.Role }

// Point returns the end of the member's log.
func (s Status) Point() Point { return s.cfg.Point }

// Promised returns the highest term for which the member was fenced.
func (s Status) Promised() Term { return s.cfg.Promised }

// Attempt returns the promotion attempt that holds the promise.
func (s Status) Attempt() string { return s.cfg.Attempt }

// History returns where each term began, as the member knows it.
func (s Status) History() History { return s.cfg.History }

// Confirms reports whether the member still takes part in term t: it is in t and has not been fenced off it.
func (s Status) Confirms(t Term) bool {
	return s.cfg.Point.Term() == t && s.cfg.Promised <= t
}
