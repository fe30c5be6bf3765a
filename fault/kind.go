package fault

// Kind classifies an error by what the receiver may conclude from it.
type Kind uint8

// The kinds of error.
const (
	// KindInternal is a defect of the program.
	KindInternal Kind = iota
	// KindOverloaded means that a limit or a full queue refused the request.
	KindOverloaded
	// KindNoPrimary means that no primary may be used now.
	KindNoPrimary
	// KindNoReplica means that no replica satisfies the request.
	KindNoReplica
	// KindDraining means that the instance is shutting down.
	KindDraining
	// KindStale means that the instance cannot prove that its configuration is current.
	KindStale
	// KindOutcomeUnknown means that the request may or may not have run.
	KindOutcomeUnknown
	// KindLostWrite means that an acknowledged write was lost in a failover.
	KindLostWrite
	// KindUnsupported means that the proxy does not carry the request.
	KindUnsupported
	// KindProtocol means that the peer broke its protocol.
	KindProtocol
	// KindUnauthorized means that the peer may not do what it asked.
	KindUnauthorized
	// KindInvalid means that a value fails validation.
	KindInvalid
	// KindConflict means that another writer changed the value first.
	KindConflict
	// KindNotFound means that the named thing does not exist.
	KindNotFound
	// KindUnavailable means that the platform's service or a peer did not answer.
	KindUnavailable
	// KindTimeout means that the request's deadline passed before it ran.
	KindTimeout
)

// Ran says whether a failed request took effect.
type Ran uint8

// The possible answers to whether a request ran.
const (
	RanNo Ran = iota
	RanUnknown
)

// Codes that PostgreSQL clients understand, by class.
const (
	codeInternal          = "XX000"
	codeTooManyConnection = "53300"
	codeResources         = "53000"
	codeCannotConnectNow  = "57P03"
	codeAdminShutdown     = "57P01"
	codeUnknownOutcome    = "08007"
	codeLostWrite         = "40003"
	codeUnsupported       = "0A000"
	codeProtocol          = "08P01"
	codeUnauthorized      = "28000"
	codeInvalid           = "22023"
	codeNotFound          = "3D000"
)

// SQLState returns the five-character PostgreSQL code for the kind.
func (k Kind) SQLState() string {
	switch k {
	case KindOverloaded:
		return codeTooManyConnection
	case KindTimeout:
		return codeResources
	case KindNoPrimary, KindNoReplica, KindStale, KindUnavailable:
		return codeCannotConnectNow
	case KindDraining:
		return codeAdminShutdown
	case KindOutcomeUnknown:
		return codeUnknownOutcome
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

// Ran returns what the kind promises about the request's effect.
func (k Kind) Ran() Ran {
	if k == KindOutcomeUnknown || k == KindInternal {
		return RanUnknown
	}
	return RanNo
}

// String returns the kind in snake case, as logs and reports show it.
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
