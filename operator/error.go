package operator

import (
	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/fault"
)

// codes maps kinds of fault to Connect codes; other kinds become CodeInternal.
var codes = map[fault.Kind]connect.Code{
	fault.KindInvalid:        connect.CodeInvalidArgument,
	fault.KindConflict:       connect.CodeAborted,
	fault.KindNotFound:       connect.CodeNotFound,
	fault.KindUnavailable:    connect.CodeUnavailable,
	fault.KindOutcomeUnknown: connect.CodeUnknown,
	fault.KindUnauthorized:   connect.CodePermissionDenied,
}

// Error returns err as a Connect error, whose message includes the remedy, or nil if err is nil.
func Error(err error) error {
	if err == nil {
		return nil
	}
	code, ok := codes[fault.KindOf(err)]
	if !ok {
		code = connect.CodeInternal
	}
	return connect.NewError(code, err)
}
