// Package claims records the idempotency keys of non-idempotent requests, so
// that a key is executed at most once, whichever entry hosts its caller tries.
//
// A key hashes to a shard. One entry host owns a shard under a lease of the
// platform and writes the shard's claims in groups with compare-and-swap, which
// fences an earlier owner. Keys bound to one entry host's incarnation need no
// platform: that host's memory alone decides, and they end with it.
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
	Fingerprint uint64    // of method, path and body: a key names one request
	Attempt     string    // names this claim; unique
	Until       time.Time // by then the request has ended, one way or another
}

// Verdict answers a claim.
type Verdict int

// The verdicts.
const (
	Absent   Verdict = iota // no claim is known
	Granted                 // this attempt alone may execute the request
	Running                 // another attempt holds the claim and has time left
	Done                    // the request was executed
	Unknown                 // an attempt held the claim and its end is not known
	Mismatch                // the key belongs to another request
)

// Answer is the recorded answer of an executed request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Kept        bool // Body is the whole body; false: it was large, or its host is gone
}

// Reply answers a claim or a look-up.
type Reply struct {
	Verdict Verdict
	Answer  Answer // when Done
}

// Completion tells how a granted attempt ended.
type Completion struct {
	Key     Key
	Attempt string
	NotRun  bool // nothing was executed: the key is free again
	Unknown bool // it may or may not have been executed
	Answer  Answer
}

// Ack answers a message that has no other answer.
type Ack struct {
	Taken bool // gob needs a field
}

// ErrUnavailable means that no claim was granted because the key's owner or
// the platform cannot be reached.
var ErrUnavailable = apierr.New(apierr.Unavailable,
	"idempotency keys cannot be claimed at present; this attempt was not run",
	"retry with the same key, or use a key bound to an entry host as the operators' page on requests explains")
