package claims

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// completionGrace is how long after an attempt's deadline its completion may
	// arrive before the verdict on its key becomes Unknown.
	completionGrace = 5 * time.Second

	maxKeptBodies = 4096 // per table; limits the memory used by bodies
)

// keyHash is the hash that identifies a key in memory and in the store.
type keyHash [16]byte

func hashKey(k Key) keyHash {
	sum := sha256.Sum256([]byte(k.Organisation + "\x00" + k.Service + "\x00" + k.Key))
	return keyHash(sum[:16])
}

func hashAttempt(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// state is the stage of a record's claim.
type state uint8

const (
	pending state = iota // queued; not yet in the store
	claimed              // in the store and granted
	done                 // the request was executed
	unknown              // the outcome of the attempt is not known
)

// record holds the claim of one key.
type record struct {
	hash        keyHash
	attempt     uint64 // hash of the attempt's ID
	fingerprint uint64
	until       time.Time // deadline of the attempt
	state       state
	abandoned   bool // pending, and its caller no longer waits
	answer      Answer
}

// table holds the records of one shard, or of the keys bound to one incarnation.
// It does no I/O and is not safe for concurrent use.
type table struct {
	records  map[keyHash]*record
	withBody []*record // records with a body, oldest first
}

func newTable() *table { return &table{records: make(map[keyHash]*record)} }

// claim claims a key and returns its record. For a new key it creates a pending
// record and returns Granted, which the caller must pass on only once the record
// is in the store.
func (t *table) claim(now time.Time, req Request) (Reply, *record) {
	h := hashKey(req.Key)
	r := t.records[h]
	if r == nil {
		r = &record{hash: h, attempt: hashAttempt(req.Attempt), fingerprint: req.Fingerprint, until: req.Until}
		t.records[h] = r
		return Reply{Verdict: Granted}, r
	}
	switch {
	case r.fingerprint != req.Fingerprint:
		return Reply{Verdict: Mismatch}, r
	case r.state == claimed && r.attempt == hashAttempt(req.Attempt):
		return Reply{Verdict: Granted}, r
	}
	return r.replyAt(now), r
}

// lookup returns the verdict on a key without claiming it.
func (t *table) lookup(now time.Time, k Key) Reply {
	r := t.records[hashKey(k)]
	if r == nil {
		return Reply{Verdict: Absent}
	}
	return r.replyAt(now)
}

// replyAt returns the reply to a look-up of the record at a time.
func (r *record) replyAt(now time.Time) Reply {
	switch r.state {
	case done:
		return Reply{Verdict: Done, Answer: r.answer}
	case unknown:
		return Reply{Verdict: Unknown}
	}
	if now.Before(r.until.Add(completionGrace)) {
		return Reply{Verdict: Running}
	}
	return Reply{Verdict: Unknown}
}

// complete records the outcome of an attempt. It returns the event to store; ok
// is false when there is none. While the claim is pending there is none: a
// completion as not run marks the claim as abandoned, and any other is ignored.
func (t *table) complete(c Completion) (e event, ok bool) {
	r := t.records[hashKey(c.Key)]
	if r == nil || r.attempt != hashAttempt(c.Attempt) {
		return event{}, false
	}
	if r.state == pending {
		r.abandoned = r.abandoned || c.NotRun
		return event{}, false
	}
	if r.state != claimed {
		return event{}, false
	}
	switch {
	case c.NotRun:
		delete(t.records, r.hash)
		return r.event(eventReleased), true
	case c.Unknown:
		r.state = unknown
		return r.event(eventUnknown), true
	}
	r.state, r.answer = done, c.Answer
	t.keepBody(r)
	return r.event(eventDone), true
}

// keepBody keeps the body of a record's answer, and evicts the oldest body when
// there are more than maxKeptBodies.
func (t *table) keepBody(r *record) {
	if len(r.answer.Body) == 0 {
		return
	}
	t.withBody = append(t.withBody, r)
	if len(t.withBody) > maxKeptBodies {
		oldest := t.withBody[0]
		oldest.answer.Body, oldest.answer.Kept = nil, false
		t.withBody[0] = nil
		t.withBody = t.withBody[1:]
	}
}

// expire removes the records whose deadline lies before cutoff, except pending
// ones.
func (t *table) expire(cutoff time.Time) {
	for h, r := range t.records {
		if r.state != pending && r.until.Before(cutoff) {
			delete(t.records, h)
		}
	}
}

// apply replays an event that was read from the log.
func (t *table) apply(e event) {
	r := t.records[e.hash]
	if e.kind == eventClaimed {
		t.records[e.hash] = &record{hash: e.hash, attempt: e.attempt, fingerprint: e.fingerprint, until: e.until, state: claimed}
		return
	}
	if r == nil || r.attempt != e.attempt {
		return
	}
	switch e.kind {
	case eventReleased:
		delete(t.records, e.hash)
	case eventUnknown:
		r.state = unknown
	case eventDone:
		r.state, r.answer = done, Answer{Status: int(e.status)}
	}
}

// event returns the event that records a transition of r.
func (r *record) event(kind eventKind) event {
	return event{
		kind:        kind,
		status:      uint16(r.answer.Status),
		until:       r.until,
		hash:        r.hash,
		attempt:     r.attempt,
		fingerprint: r.fingerprint,
	}
}
