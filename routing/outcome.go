package routing

// Outcome tells a caller whether its request was executed.
type Outcome string

// The outcomes.
const (
	// Ran means that the upstream executed the request and this is its whole answer.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request reached an upstream, or that the
	// upstream itself said that it did not execute it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = "unknown"
)

// Headers of requests and answers.
const (
	// HeaderOutcome carries an Outcome. An upstream sets it to "not-run" on a 503
	// to state that it did not execute the request.
	HeaderOutcome = "Cyclamentray-Outcome"
	// HeaderRequestID names a request to an upstream. An upstream that copies it
	// into its answer keeps its connections; others get one a request.
	HeaderRequestID = "Cyclamentray-Request"
	// HeaderReason is set by an upstream beside a not-run 503: "leaving" or "full".
	HeaderReason = "Cyclamentray-Reason"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)
