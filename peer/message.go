package peer

import (
	"io"
	"math"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/bytebudget"
)

// errInvalidLength means that what a peer sent is no gob message.
var errInvalidLength = errors.New("peer: the length of a message is invalid")

const (
	// messageTimeout limits the time from the first byte of a message to its last.
	messageTimeout = 10 * time.Second

	smallMessageBytes = 4 << 10 // a message up to this size is not counted

	// A gob message begins with its length: one byte up to maxShortLength, or the negated
	// number of bytes of the length, and these.
	maxShortLength = 0x7f
	maxLengthBytes = 8
)

// messageReader passes on a connection's gob messages. It counts the size of each in a
// budget before the decoder allocates memory for it. The largest stays counted until the
// connection closes, as the decoder keeps its buffer.
type messageReader struct {
	conn net.Conn
	hold *bytebudget.Hold // nil: messages are not counted

	length      uint64 // of the message that begins
	lengthBytes int    // of the length that are still to come
	left        uint64 // bytes of the message that are still to come
	timed       bool   // whether the connection has a read deadline
	largest     int64
}

// newMessageReader returns a reader of conn's messages. The caller closes it.
func newMessageReader(conn net.Conn, budget *bytebudget.Budget) *messageReader {
	m := &messageReader{conn: conn}
	if budget != nil {
		m.hold = budget.Open(func() {
			_ = conn.SetReadDeadline(time.Unix(1, 0)) // it fails only on a closed connection
		})
	}
	return m
}

func (m *messageReader) close() {
	if m.hold != nil {
		m.hold.Close()
	}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	n, err := m.conn.Read(p)
	if scanErr := m.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	m.limitTime()
	return n, err
}

var _ io.Reader = (*messageReader)(nil)

// scan follows the lengths of the messages in p.
func (m *messageReader) scan(p []byte) error {
	for len(p) > 0 {
		if m.left > 0 {
			skipped := min(m.left, uint64(len(p)))
			m.left -= skipped
			p = p[skipped:]
			continue
		}
		if err := m.scanLength(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// scanLength takes one byte of a message's length.
func (m *messageReader) scanLength(b byte) error {
	switch {
	case m.lengthBytes > 0:
		m.length = m.length<<8 | uint64(b)
		m.lengthBytes--
	case b <= maxShortLength:
		m.length = uint64(b)
	default:
		m.length, m.lengthBytes = 0, -int(int8(b))
		if m.lengthBytes > maxLengthBytes {
			return errInvalidLength
		}
	}
	if m.lengthBytes > 0 {
		return nil
	}
	return m.begin()
}

// begin starts a message whose length was read.
func (m *messageReader) begin() error {
	if m.length > math.MaxInt64 {
		return errInvalidLength
	}
	m.left = m.length
	if m.hold == nil || m.length <= smallMessageBytes {
		return nil
	}
	m.largest = max(m.largest, int64(m.length))
	return m.hold.Resize(m.largest)
}

// limitTime sets a read deadline while a message is incomplete, and clears it after. It
// fails only on a closed connection, of which the next read tells.
func (m *messageReader) limitTime() {
	incomplete := m.left > 0 || m.lengthBytes > 0
	if incomplete == m.timed {
		return
	}
	m.timed = incomplete
	deadline := time.Time{}
	if incomplete {
		deadline = time.Now().Add(messageTimeout)
	}
	_ = m.conn.SetReadDeadline(deadline)
}
