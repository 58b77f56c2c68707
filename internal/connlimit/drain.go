package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// drainInterval is the time between two looks for connections to end.
const drainInterval = 10 * time.Millisecond

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// Drain closes the listener and ends its connections: each after its answer, or when it has
// waited for a request for longer than linger. A request of which a part was read is answered;
// net/http's Shutdown closes connections whose request was read and not looked at yet. Drain
// returns when no connection is open, or an error when ctx ends before. The http.Server that
// serves the Listener uses TrackRequests, ConnContext and ConnState.
func (l *Listener) Drain(ctx context.Context, linger time.Duration) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "closing a listener that drains")
	}
	for {
		open := l.endWaiting(linger)
		if open == 0 {
			return nil
		}
		if !pause.For(ctx, drainInterval) {
			return errors.Wrapf(ctx.Err(), "%d connections are open", open)
		}
	}
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// endWaiting ends the connections that have waited for a request for longer than linger, and
// returns how many are open.
func (l *Listener) endWaiting(linger time.Duration) (open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := steady.Now()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.arriving && !c.ended && now.Sub(c.since) >= linger {
			c.ended = true
			_ = c.Conn.SetReadDeadline(longAgo) // fails for a connection that is closed
		}
	}
	return l.open
}

// ConnState is the ConnState of an http.Server whose Listener is to be drained.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.arriving = false
}

// Read implements net.Conn. A connection that was ended goes on if a request has come after all.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.arriving = true
	if c.ended {
		c.ended = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // the next read shows why it failed
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of a connection that was ended stays.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = t
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}
