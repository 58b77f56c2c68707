package claims

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// eventKind tells what an event says about a key.
type eventKind uint8

const (
	eventClaimed eventKind = iota + 1
	eventReleased
	eventUnknown
	eventDone
)

// event is one line of a shard's log.
type event struct {
	kind        eventKind
	status      uint16
	until       time.Time // of the attempt, to the millisecond
	hash        keyHash
	attempt     uint64
	fingerprint uint64
}

// segment is one value of a shard's log in the store. Term and Commits make
// the bytes of every write different, so that a write whose answer was lost is
// recognised when it is read back.
type segment struct {
	term    uint64 // of the owner that wrote it
	seq     uint64 // place in the log; 0: none
	commits uint64 // writes of this segment by its owner
	newest  time.Time
	events  []event
}

const segmentFormat = 1

// wireSegment and wireEvent are the fixed-size forms in the store.
type wireSegment struct {
	Format       uint8
	Term         uint64
	Seq          uint64
	Commits      uint64
	NewestMillis int64
	Events       uint32
}

type wireEvent struct {
	Kind        uint8
	Status      uint16
	UntilMillis int64
	Hash        keyHash
	Attempt     uint64
	Fingerprint uint64
}

// encode returns the segment's bytes.
func (s segment) encode() []byte {
	head := wireSegment{
		Format: segmentFormat, Term: s.term, Seq: s.seq, Commits: s.commits,
		NewestMillis: s.newest.UnixMilli(), Events: uint32(len(s.events)),
	}
	out, _ := binary.Append(nil, binary.BigEndian, head)
	for _, e := range s.events {
		w := wireEvent{
			Kind: uint8(e.kind), Status: e.status, UntilMillis: e.until.UnixMilli(),
			Hash: e.hash, Attempt: e.attempt, Fingerprint: e.fingerprint,
		}
		out, _ = binary.Append(out, binary.BigEndian, w)
	}
	return out
}

// decodeSegment reads the bytes of encode.
func decodeSegment(data []byte) (segment, error) {
	in := bytes.NewReader(data)
	var head wireSegment
	if err := binary.Read(in, binary.BigEndian, &head); err != nil {
		return segment{}, errors.Wrap(err, "claims: segment is too short; restore the store's value")
	}
	if head.Format != segmentFormat {
		return segment{}, errors.Newf("claims: segment of unknown format %d; run one version of the program", head.Format)
	}
	if int(head.Events)*binary.Size(wireEvent{}) != in.Len() {
		return segment{}, errors.New("claims: segment is damaged; restore the store's value")
	}
	wire := make([]wireEvent, head.Events)
	if err := binary.Read(in, binary.BigEndian, wire); err != nil {
		return segment{}, errors.Wrap(err, "claims: segment is damaged; restore the store's value")
	}
	s := segment{term: head.Term, seq: head.Seq, commits: head.Commits, newest: time.UnixMilli(head.NewestMillis)}
	for _, w := range wire {
		s.events = append(s.events, event{
			kind: eventKind(w.Kind), status: w.Status, until: time.UnixMilli(w.UntilMillis),
			hash: w.Hash, attempt: w.Attempt, fingerprint: w.Fingerprint,
		})
	}
	return s, nil
}
