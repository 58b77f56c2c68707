package peer

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/bytebudget"
)

const testMessageLimit = 10_000

// encodeStrings returns the gob messages of strings of the given lengths.
func encodeStrings(t *testing.T, lengths ...int) []byte {
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	for _, n := range lengths {
		must.NoError(t, enc.Encode(string(make([]byte, n))))
	}
	return out.Bytes()
}

// readMessages sends text in pieces of the given size to a messageReader and returns the
// error at its end.
func readMessages(t *testing.T, text []byte, piece int) error {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	go func() {
		defer func() { _ = client.Close() }()
		for len(text) > 0 {
			n := min(piece, len(text))
			if _, err := client.Write(text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	m := newMessageReader(server, bytebudget.New(testMessageLimit, func() {}))
	defer m.close()
	_, err := io.Copy(io.Discard, m)
	return err
}

// Guards against a decoder that allocates whatever a peer announces.
func TestMessageOverTheLimitIsRefused(t *testing.T) {
	for _, piece := range []int{1, 7, 100_000} {
		must.NoError(t, readMessages(t, encodeStrings(t, 0, 5, 9_900, 200, 9_900), piece))
		must.ErrorIs(t, readMessages(t, encodeStrings(t, 5, testMessageLimit), piece), bytebudget.ErrGivenUp)
		must.ErrorIs(t, readMessages(t, []byte{0x80}, piece), errInvalidLength)
		must.ErrorIs(t, readMessages(t, []byte("\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"), piece), bytebudget.ErrGivenUp)
		must.ErrorIs(t, readMessages(t, []byte("\xf8\xff\xff\xff\xff\xff\xff\xff\xff"), piece), errInvalidLength)
	}
}
