package claims

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// eventKind is the transition of a key that an event records. Its values are
// stored.
type eventKind uint8

const (
	eventClaimed  eventKind = iota + 1 // the attempt was granted the key
	eventReleased                      // the key may be claimed again
	eventUnknown                       // the outcome of the attempt is not known
	eventDone                          // the attempt was executed
)

// event is one entry of a shard's log.
type event struct {
	kind        eventKind
	status      uint16    // of the answer; 0 unless kind is eventDone
	until       time.Time // deadline of the attempt; stored to the millisecond
	hash        keyHash
	attempt     uint64 // hash of the attempt's ID
	fingerprint uint64
}

// segment is one value of a shard's log in the store. term and commits make
// the bytes of each write unique, so that reading the value back shows whether a
// write whose reply was lost took effect.
type segment struct {
	term    uint64    // of the owner that wrote it
	seq     uint64    // sequence number in the log, from 1; 0: never written
	commits uint64    // number of writes of this segment
	newest  time.Time // time of the newest event
	events  []event
}

const segmentFormat = 1

// wireSegment is the fixed-size header of a segment in the store. It is followed by
// as many values of wireEvent as Events says.
type wireSegment struct {
	Format       uint8
	Term         uint64
	Seq          uint64
	Commits      uint64
	NewestMillis int64
	Events       uint32
}

// wireEvent is the fixed-size form of an event in the store.
type wireEvent struct {
	Kind        uint8
	Status      uint16
	UntilMillis int64
	Hash        keyHash
	Attempt     uint64
	Fingerprint uint64
}

// encode returns the segment as it is stored.
func (s segment) encode() []byte {
	header := wireSegment{
		Format: segmentFormat, Term: s.term, Seq: s.seq, Commits: s.commits,
		NewestMillis: s.newest.UnixMilli(), Events: uint32(len(s.events)),
	}
	out, _ := binary.Append(nil, binary.BigEndian, header)
	for _, e := range s.events {
		w := wireEvent{
			Kind: uint8(e.kind), Status: e.status, UntilMillis: e.until.UnixMilli(),
			Hash: e.hash, Attempt: e.attempt, Fingerprint: e.fingerprint,
		}
		out, _ = binary.Append(out, binary.BigEndian, w)
	}
	return out
}

// decodeSegment decodes the output of encode.
func decodeSegment(data []byte) (segment, error) {
	in := bytes.NewReader(data)
	var header wireSegment
	if err := binary.Read(in, binary.BigEndian, &header); err != nil {
		return segment{}, errors.Wrap(err, "claims: segment is too short; restore the store's value")
	}
	if header.Format != segmentFormat {
		return segment{}, errors.Newf("claims: segment of unknown format %d; run one version of the program", header.Format)
	}
	if int(header.Events)*binary.Size(wireEvent{}) != in.Len() {
		return segment{}, errors.New("claims: segment is damaged; restore the store's value")
	}
	wire := make([]wireEvent, header.Events)
	if err := binary.Read(in, binary.BigEndian, wire); err != nil {
		return segment{}, errors.Wrap(err, "claims: segment is damaged; restore the store's value")
	}
	s := segment{term: header.Term, seq: header.Seq, commits: header.Commits, newest: time.UnixMilli(header.NewestMillis)}
	for _, w := range wire {
		s.events = append(s.events, event{
			kind: eventKind(w.Kind), status: w.Status, until: time.UnixMilli(w.UntilMillis),
			hash: w.Hash, attempt: w.Attempt, fingerprint: w.Fingerprint,
		})
	}
	return s, nil
}
