// Package countedconn counts the bytes sent and received on network connections.
// The packages kvstore and peer use it for their byte metrics. The counters belong to
// the metrics set that the caller passes in; the package holds no other state.
package countedconn

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// conn is a net.Conn that counts its bytes.
type conn struct {
	net.Conn
	in, out *metrics.Counter
}

// New wraps c so that set counts its bytes in two counters called name: received
// bytes with the label direction="in", sent bytes with direction="out".
func New(c net.Conn, set *metrics.Set, name string) net.Conn {
	return &conn{
		Conn: c,
		in:   set.GetOrCreateCounter(name + `{direction="in"}`),
		out:  set.GetOrCreateCounter(name + `{direction="out"}`),
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(n)
	return n, err
}
