package routing

// Outcome tells a caller whether its request was executed.
type Outcome string

// Outcomes of a request.
const (
	// Ran means that the upstream executed the request. Its response is complete,
	// unless the connection is aborted or an error states that the response body
	// was not recorded.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request reached an upstream, or that the
	// upstream itself stated that it did not execute it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = "unknown"
)

// Headers of requests and responses.
const (
	// HeaderOutcome carries an Outcome. An upstream sets it to "not-run" on a 503
	// to state that it did not execute the request.
	HeaderOutcome = "Cyclamentray-Outcome"
	// HeaderRequestID carries the ID of a request to an upstream. Connections to an
	// upstream are reused only if it copies the ID into its responses; otherwise
	// each request gets a new connection.
	HeaderRequestID = "Cyclamentray-Request"
	// HeaderReason is set by an upstream on a not-run 503: "leaving" or "full".
	HeaderReason = "Cyclamentray-Reason"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)
