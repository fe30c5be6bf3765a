package fault

// Kind classifies an error by its cause.
type Kind uint8

// The kinds of error.
const (
	// KindInternal is a defect of the program.
	KindInternal Kind = iota
	// KindOverloaded means that the request was rejected at a limit or because a queue was full.
	KindOverloaded
	// KindNoPrimary means that the group has no primary that may be used.
	KindNoPrimary
	// KindNoReplica means that no replica satisfies the request.
	KindNoReplica
	// KindDraining means that the instance is shutting down and rejects new requests.
	KindDraining
	// KindStale means that data is out of date or cannot be proved current, such as the instance's configuration.
	KindStale
	// KindOutcomeUnknown means that the request may or may not have run.
	KindOutcomeUnknown
	// KindLostWrite means that an acknowledged write was lost in a failover.
	KindLostWrite
	// KindUnsupported means that the proxy does not support the request.
	KindUnsupported
	// KindProtocol means that the other side of a connection violated the protocol.
	KindProtocol
	// KindUnauthorized means that authentication failed or the operation is not permitted.
	KindUnauthorized
	// KindInvalid means that a value fails validation.
	KindInvalid
	// KindConflict means that another writer changed the value first.
	KindConflict
	// KindNotFound means that no object with the requested name exists.
	KindNotFound
	// KindUnavailable means that the platform, an endpoint or a peer did not answer.
	KindUnavailable
	// KindTimeout means that the request's deadline passed before it ran.
	KindTimeout
)

// Effect states whether a failed request may have run.
type Effect uint8

const (
	// EffectNone means that the request did not run.
	EffectNone Effect = iota
	// EffectUnknown means that the request may have run.
	EffectUnknown
)

// SQLSTATE codes of PostgreSQL.
const (
	codeInternal              = "XX000"
	codeTooManyConnections    = "53300"
	codeInsufficientResources = "53000"
	codeCannotConnectNow      = "57P03"
	codeAdminShutdown         = "57P01"
	codeOutcomeUnknown        = "08007"
	codeLostWrite             = "40003"
	codeUnsupported           = "0A000"
	codeProtocol              = "08P01"
	codeUnauthorized          = "28000"
	codeInvalid               = "22023"
	codeNotFound              = "3D000"
)

// SQLState returns the SQLSTATE that PostgreSQL clients receive for the kind.
func (k Kind) SQLState() string {
	switch k {
	case KindOverloaded:
		return codeTooManyConnections
	case KindTimeout:
		return codeInsufficientResources
	case KindNoPrimary, KindNoReplica, KindStale, KindUnavailable:
		return codeCannotConnectNow
	case KindDraining:
		return codeAdminShutdown
	case KindOutcomeUnknown:
		return codeOutcomeUnknown
	case KindLostWrite:
		return codeLostWrite
	case KindUnsupported:
		return codeUnsupported
	case KindProtocol:
		return codeProtocol
	case KindUnauthorized:
		return codeUnauthorized
	case KindInvalid, KindConflict:
		return codeInvalid
	case KindNotFound:
		return codeNotFound
	}
	return codeInternal
}

// Effect reports whether a request that failed with this kind may have run.
func (k Kind) Effect() Effect {
	if k == KindOutcomeUnknown || k == KindInternal {
		return EffectUnknown
	}
	return EffectNone
}

// String returns the name of the kind in snake case, for logs and reports.
func (k Kind) String() string {
	names := [...]string{
		"internal", "overloaded", "no_primary", "no_replica", "draining", "stale",
		"outcome_unknown", "lost_write", "unsupported", "protocol", "unauthorized",
		"invalid", "conflict", "not_found", "unavailable", "timeout",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "internal"
}
