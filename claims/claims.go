// Package claims records the idempotency keys of non-idempotent requests, so
// that the request of a key is executed at most once, whichever entry hosts its
// caller tries. Package routing calls it before and after each such request.
//
// A key hashes to a shard. One entry host owns a shard under a lease of the
// platform, keeps the shard's records in memory and appends them in groups to a
// log in the platform's store. Each append is a compare-and-swap, which fences
// earlier owners. An incarnation is one run of an entry host's process. Keys bound
// to an incarnation need no platform: their records exist only in the memory of
// that process and are lost when it ends.
package claims

import (
	"time"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// MaxKeyBytes is the longest idempotency key, in bytes.
const MaxKeyBytes = 200

// Key identifies a non-idempotent request of an organisation to a service.
type Key struct {
	Organisation string
	Service      string
	Key          string // as the caller sent it
}

// Request asks for the right to execute a key once.
type Request struct {
	Key         Key
	Fingerprint uint64    // hash of method, path and body; a key may not be reused for another request
	Attempt     string    // unique ID of the caller's attempt; the attempt that holds the key is granted it again
	Until       time.Time // deadline by which the request has ended, whatever its outcome
}

// Verdict is the result of a claim or a look-up.
type Verdict int

// Verdicts of claims and look-ups.
const (
	Absent   Verdict = iota // there is no claim of the key
	Granted                 // this attempt alone may execute the request
	Running                 // another attempt holds the claim and has time left
	Done                    // the request was executed
	Unknown                 // an attempt held the claim and its outcome is not known
	Mismatch                // the key was claimed with another fingerprint
)

// Answer is the recorded answer of an executed request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Kept        bool // Body is complete; false: the body was too large, evicted or lost with its host
}

// Reply is the reply to a claim or a look-up.
type Reply struct {
	Verdict Verdict
	Answer  Answer // set when Verdict is Done
}

// Completion reports how a granted attempt ended.
type Completion struct {
	Key     Key
	Attempt string // Attempt of the granted Request
	NotRun  bool   // the request was not executed; the key may be claimed again
	Unknown bool   // the request may or may not have been executed
	Answer  Answer
}

// Ack is the empty reply to a Completion.
type Ack struct {
	Taken bool // unused; gob cannot encode a struct without exported fields
}

// ErrUnavailable means that no claim was granted because the key's owner or
// the platform cannot be reached.
var ErrUnavailable = apierr.New(apierr.Unavailable,
	"idempotency keys cannot be claimed at present; this attempt was not run",
	"retry with the same key, or use a key bound to an entry host as the operators' page on requests explains")
