// Package connlimit bounds the open connections of a listener. A new connection is
// accepted at once; if the limit is reached, the connection is closed that has waited
// longest for a request or for the rest of one. Connections whose request is being
// served are not closed, nor are those that have waited for less than the time that a
// request needs to arrive: the new one is closed then. A Listener keeps its open connections in the order in which
// they began to wait. It also ends them for a server that stops, without losing a request.
// The host's HTTP servers and the server of peers' calls use it.
package connlimit

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Listener is a net.Listener with a limit of open connections. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	limit   int
	minWait time.Duration
	onClose func() // called for each connection that is closed for the limit

	mu       sync.Mutex
	open     int
	waiting  list.List // of *Conn; the one that has waited longest is at the front
	draining bool
}

// Limit returns l with a limit of open connections. A connection that has waited for less
// than minWait is not closed for a new one. onClose is called for each connection that is
// closed for the limit.
func Limit(l net.Listener, limit int, minWait time.Duration, onClose func()) *Listener {
	return &Listener{Listener: l, limit: limit, minWait: minWait, onClose: onClose}
}

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener

	// The fields below are guarded by listener.mu.
	closed       bool
	since        steady.Time   // it has waited from then on
	place        *list.Element // in listener.waiting; nil: its request is being served
	arriving     bool          // a part of the next request was read
	ended        bool          // no request is awaited any more
	readDeadline time.Time     // as last set by the server
}

// Accept implements net.Listener. If no connection can be closed for a new one, that one is
// closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, listener: l}
		oldest, admitted := l.admit(c)
		if oldest != nil {
			_ = oldest.Close() // it is given up whether or not that succeeds
			l.onClose()
		}
		if admitted {
			return c, nil
		}
		_ = conn.Close() // it was not served yet
		l.onClose()
	}
}

// admit adds c to the open connections and returns the one to close for it, if any.
func (l *Listener) admit(c *Conn) (oldest *Conn, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		front := l.waiting.Front()
		if front == nil {
			return nil, false
		}
		oldest = front.Value.(*Conn)
		if steady.Now().Sub(oldest.since) < l.minWait {
			return nil, false
		}
		oldest.leave()
	}
	l.open++
	c.wait()
	return oldest, true
}

// leave removes c from the open connections. The caller holds listener.mu.
func (c *Conn) leave() {
	if c.closed {
		return
	}
	c.closed = true
	c.listener.open--
	c.serve()
}

// serve removes c from those that wait. The caller holds listener.mu.
func (c *Conn) serve() {
	if c.place != nil {
		c.listener.waiting.Remove(c.place)
		c.place = nil
	}
}

// wait adds c to those that wait. The caller holds listener.mu.
func (c *Conn) wait() {
	c.since = steady.Now()
	c.place = c.listener.waiting.PushBack(c)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.leave()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the answer while the request is still arriving; net/http calls it.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Serving states that a whole request was read and is being served.
func (c *Conn) Serving() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.serve()
}

// Waiting states that the connection waits for a request from now on.
func (c *Conn) Waiting() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed {
		return
	}
	c.serve()
	c.wait()
}

type connKey struct{}

// ConnContext is the ConnContext of an http.Server that serves a Listener. TrackRequests
// needs it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// TrackRequests returns next with a connection marked as being served from the end of a
// request's body to the end of the handler. While the Listener drains, an answer ends its
// connection.
func TrackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		defer conn.Waiting()
		if conn.listener.isDraining() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength == 0 {
			conn.Serving()
		} else {
			r.Body = &trackedBody{ReadCloser: r.Body, conn: conn}
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody marks the connection as being served when the body has ended.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.Serving()
	}
	return n, err
}
