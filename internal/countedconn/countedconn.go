// Package countedconn counts the bytes of network connections.
package countedconn

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	in, out *metrics.Counter
}

// New wraps c so that its bytes are counted in set, under the metric name with
// a label for each direction.
func New(c net.Conn, set *metrics.Set, name string) net.Conn {
	return &conn{
		Conn: c,
		in:   set.GetOrCreateCounter(name + `{direction="in"}`),
		out:  set.GetOrCreateCounter(name + `{direction="out"}`),
	}
}

// Read reads and counts.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(n)
	return n, err
}

// Write writes and counts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(n)
	return n, err
}
