package fault

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Config holds the fields of an Error.
type Config struct {
	Kind    Kind
	Message string
	Remedy  string
	Cause   error
}

// Error is a typed error with a remedy.
type Error struct {
	kind    Kind
	message string
	remedy  string
	cause   error
}

// New returns the error described by cfg; a cause, if any, is wrapped together with a stack trace.
func New(cfg Config) *Error {
	cause := cfg.Cause
	if cause != nil {
		cause = eris.Wrap(cause, cfg.Message)
	}
	return &Error{kind: cfg.Kind, message: cfg.Message, remedy: cfg.Remedy, cause: cause}
}

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Message returns the description of the failure, without the cause and the remedy.
func (e *Error) Message() string { return e.message }

// Remedy returns the action that the receiver should take.
func (e *Error) Remedy() string { return e.remedy }

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the message, the cause and the remedy on one line.
func (e *Error) Error() string {
	text := e.message
	if e.cause != nil {
		text = e.cause.Error()
	}
	if e.remedy == "" {
		return text
	}
	return text + " (remedy: " + e.remedy + ")"
}

// KindOf returns the kind of the first Error in err's chain, or KindInternal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindInternal
}

// As returns the first Error in err's chain, or wraps err as KindInternal.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Config{
		Kind:    KindInternal,
		Message: "unexpected error",
		Remedy:  "report it with the log lines around it",
		Cause:   err,
	})
}
