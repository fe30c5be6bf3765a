package operator

import (
	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/fault"
)

// codes maps kinds of error to connect's codes.
var codes = map[fault.Kind]connect.Code{
	fault.KindInvalid:        connect.CodeInvalidArgument,
	fault.KindConflict:       connect.CodeAborted,
	fault.KindNotFound:       connect.CodeNotFound,
	fault.KindUnavailable:    connect.CodeUnavailable,
	fault.KindOutcomeUnknown: connect.CodeUnknown,
	fault.KindUnauthorized:   connect.CodePermissionDenied,
}

// Error returns err as a connect error whose message names the remedy.
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
