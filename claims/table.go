package claims

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// completionGrace is how long after its end an attempt's completion may
	// still arrive before its key counts as unknown.
	completionGrace = 5 * time.Second

	maxKeptBodies = 4096 // answers with a body that a table keeps
)

// keyHash identifies a key in memory and in the store.
type keyHash [16]byte

func hashKey(k Key) keyHash {
	sum := sha256.Sum256([]byte(k.Organisation + "\x00" + k.Service + "\x00" + k.Key))
	return keyHash(sum[:16])
}

func hashAttempt(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// state is the stage of a record.
type state uint8

const (
	pending state = iota // asked for; not yet in the store
	claimed              // granted
	done
	unknown
)

// record is what is known about one key.
type record struct {
	hash        keyHash
	attempt     uint64
	fingerprint uint64
	until       time.Time
	state       state
	abandoned   bool // pending, and its asker has gone
	answer      Answer
}

// table holds the records of one shard, or of one incarnation. It is pure and
// not safe for concurrent use.
type table struct {
	records map[keyHash]*record
	withBody    []*record // records with a body, oldest first
}

func newTable() *table { return &table{records: make(map[keyHash]*record)} }

// claim answers a claim. When it creates a record, that is pending and the
// verdict is Granted: the claim is granted once the record is in the store.
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

// lookup tells what is known about a key.
func (t *table) lookup(now time.Time, k Key) Reply {
	r := t.records[hashKey(k)]
	if r == nil {
		return Reply{Verdict: Absent}
	}
	return r.replyAt(now)
}

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

// complete records an attempt's end. It returns the event to store; ok is
// false when there is nothing to record.
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

// keepBody bounds the memory used by bodies.
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

// expire forgets the records that ended before then.
func (t *table) expire(cutoff time.Time) {
	for h, r := range t.records {
		if r.state != pending && r.until.Before(cutoff) {
			delete(t.records, h)
		}
	}
}

// apply replays an event read from the store.
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
