// Package apierr defines the typed error that packages return to callers and
// operators. Each error has a kind, the field at fault and a remedy. The kind
// determines the HTTP status and the exit code of the command line. The package
// holds no state.
package apierr

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind classifies errors for programs; its values are part of the HTTP interface.
type Kind string

// The kinds of error.
const (
	InvalidInput    Kind = "invalid-input"
	Unauthenticated Kind = "unauthenticated"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "not-found"
	Conflict        Kind = "conflict"
	TooLarge        Kind = "too-large"
	Infeasible      Kind = "infeasible" // the job fits no failure domain
	Retired         Kind = "retired"    // the service is retired
	Overloaded      Kind = "overloaded"
	Unavailable     Kind = "unavailable"
	OutcomeUnknown  Kind = "outcome-unknown" // the request may or may not have run
	Internal        Kind = "internal"
)

var statusByKind = map[Kind]int{
	InvalidInput:    http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	NotFound:        http.StatusNotFound,
	Conflict:        http.StatusConflict,
	TooLarge:        http.StatusRequestEntityTooLarge,
	Infeasible:      http.StatusUnprocessableEntity,
	Retired:         http.StatusGone,
	Overloaded:      http.StatusTooManyRequests,
	Unavailable:     http.StatusServiceUnavailable,
	OutcomeUnknown:  http.StatusGatewayTimeout,
	Internal:        http.StatusInternalServerError,
}

// Error is a failure that a caller or an operator can act on.
type Error struct {
	Kind    Kind     `json:"kind"`
	File    string   `json:"file,omitempty"`  // file that contains the mistake, if any
	Line    int      `json:"line,omitempty"`  // from 1; 0: not known
	Field   string   `json:"field,omitempty"` // path of the field at fault, such as "jobs[0].shape.tasks"
	Message string   `json:"message"`
	Remedy  string   `json:"remedy,omitempty"`
	Details []*Error `json:"details,omitempty"` // every mistake found, when there are several
}

// New returns an error of the given kind, with its remedy.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Invalid returns an InvalidInput error about one field.
func Invalid(field, message, remedy string) *Error {
	return &Error{Kind: InvalidInput, Field: field, Message: message, Remedy: remedy}
}

// Join returns nil for no mistakes, the mistake itself for one, and an error
// with all of them as Details for several. Mistakes that have Details are
// replaced by these, so that joining twice does not nest.
func Join(mistakes []*Error) *Error {
	var flat []*Error
	for _, m := range mistakes {
		flat = append(flat, Flatten(m)...)
	}
	mistakes = flat
	switch len(mistakes) {
	case 0:
		return nil
	case 1:
		return mistakes[0]
	}
	return &Error{
		Kind:    mistakes[0].Kind,
		Message: fmt.Sprintf("%d mistakes found", len(mistakes)),
		Remedy:  "mend each of the mistakes listed",
		Details: mistakes,
	}
}

// Flatten returns the Details of err's typed error, or that error alone if it has none.
func Flatten(err error) []*Error {
	e := From(err)
	if len(e.Details) == 0 {
		return []*Error{e}
	}
	return e.Details
}

// Error returns file, line, field, message, remedy and details as text.
func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File + ":")
		if e.Line > 0 {
			fmt.Fprintf(&b, "%d:", e.Line)
		}
		b.WriteString(" ")
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Message)
	if e.Remedy != "" {
		b.WriteString("; " + e.Remedy)
	}
	for _, d := range e.Details {
		b.WriteString("\n  " + d.Error())
	}
	return b.String()
}

// Status returns the HTTP status code for the error's kind.
func (e *Error) Status() int {
	if s, ok := statusByKind[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns the typed error in err's chain, or a new Internal error with
// err's message.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, err.Error(), "retry; if it persists, report it with the host's log")
}

// KindOf returns the kind of the typed error in err's chain, or Internal.
func KindOf(err error) Kind { return From(err).Kind }
