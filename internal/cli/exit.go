package cli

import "github.com/cyclamentray/cyclamentray/apierr"

// The exit codes of the command line. They are documented in docs/operators/cli.md.
const (
	ExitOK          = 0
	ExitFailed      = 1 // an internal or unexpected failure
	ExitUsage       = 2 // the command line itself is wrong
	ExitInvalid     = 3 // a document, a job or a setting is wrong, or a job can never run
	ExitRefused     = 4 // the token is missing, wrong, or not allowed to do this
	ExitNotFound    = 5 // no such job, service, key or failure domain for this caller
	ExitConflict    = 6 // another edit came first, or the name is taken
	ExitUnavailable = 7 // no entry host answered, or it could not act now; retry later
	ExitUnknown     = 8 // the request may or may not have run; ask for its outcome
)

var exitByKind = map[apierr.Kind]int{
	apierr.InvalidInput:    ExitInvalid,
	apierr.TooLarge:        ExitInvalid,
	apierr.Infeasible:      ExitInvalid,
	apierr.Unauthenticated: ExitRefused,
	apierr.Forbidden:       ExitRefused,
	apierr.NotFound:        ExitNotFound,
	apierr.Retired:         ExitNotFound,
	apierr.Conflict:        ExitConflict,
	apierr.Overloaded:      ExitUnavailable,
	apierr.Unavailable:     ExitUnavailable,
	apierr.OutcomeUnknown:  ExitUnknown,
}

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if code, ok := exitByKind[apierr.KindOf(err)]; ok {
		return code
	}
	return ExitFailed
}
