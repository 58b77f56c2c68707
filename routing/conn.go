package routing

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout              = time.Second
	progressTimeout          = 5 * time.Second // without a byte sent, or received once a response has begun
	keepAliveIdle            = 5 * time.Second
	keepAliveInterval        = 2 * time.Second
	keepAliveCount           = 3
	maxIdleTime              = 10 * time.Second       // since the last response; then the connection is closed
	maxIdleTimeNonIdempotent = 100 * time.Millisecond // since a complete response, which proves the connection alive
	earlyResponseTimeout     = 500 * time.Millisecond // for a response after sending failed
	maxInformational         = 8                      // 1xx responses before the final one
)

// errNoProgress marks a read that timed out: at the attempt's deadline, or after
// progressTimeout once the response had begun.
var errNoProgress = errors.New("routing: timed out waiting for data from the upstream; the connection was closed")

// conn is one connection to an upstream. Requests are not pipelined, so that a
// response can only belong to the request just sent. It is not safe for
// concurrent use.
type conn struct {
	net.Conn
	reader          *bufio.Reader
	sent            bool      // a byte of the current request may have been sent
	attemptDeadline time.Time // of the current attempt
	responseStarted bool      // a byte of the current response was received
	lastResponse    time.Time // end of the last complete response
	notReusable     bool      // sending a request failed
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw}
	c.reader = bufio.NewReader(readerFunc(c.read))
	return c, nil
}

// readerFunc adapts a function to io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Write sends bytes of a request and sets sent once any were written.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.progressDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sent = true
	}
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	deadline := c.attemptDeadline
	if c.responseStarted {
		deadline = c.progressDeadline()
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.responseStarted = true
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = errors.Mark(err, errNoProgress)
	}
	return n, err
}

// progressDeadline returns the earlier of the attempt's deadline and
// progressTimeout from now.
func (c *conn) progressDeadline() time.Time {
	next := time.Now().Add(progressTimeout)
	if c.attemptDeadline.Before(next) {
		return c.attemptDeadline
	}
	return next
}

// roundTrip sends req and reads the head of the final response. Its body must be
// read to the end before the connection is used again.
func (c *conn) roundTrip(req *http.Request, deadline time.Time) (*http.Response, error) {
	c.sent, c.responseStarted, c.attemptDeadline = false, false, deadline
	if err := c.send(req); err != nil {
		return c.readEarlyResponse(req, err)
	}
	return c.readResponseHead(req)
}

func (c *conn) send(req *http.Request) error {
	out := bufio.NewWriter(c)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// readEarlyResponse reads the response of an upstream that stopped reading the
// request. Without one it returns sendErr.
func (c *conn) readEarlyResponse(req *http.Request, sendErr error) (*http.Response, error) {
	c.notReusable = true
	if !c.sent {
		return nil, sendErr
	}
	early := time.Now().Add(earlyResponseTimeout)
	if early.Before(c.attemptDeadline) {
		c.attemptDeadline = early
	}
	resp, err := c.readResponseHead(req)
	if err != nil {
		return nil, sendErr
	}
	return resp, nil
}

// readResponseHead reads the head of the final response and skips informational
// ones.
func (c *conn) readResponseHead(req *http.Request) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("routing: upstream switched protocols; only HTTP/1.1 requests are forwarded")
		}
	}
	return nil, errors.New("routing: upstream sent too many informational (1xx) responses")
}

// openAndSilent reports whether nothing has arrived since the last response, not
// even the end of the stream.
func (c *conn) openAndSilent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	peek := func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	}
	return raw.Read(peek) == nil && silent
}

// pool keeps the idle connections to one upstream. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	idle []*conn // most recently used last
	open int     // connections idle or in use
}

// takeIdle returns an idle connection on which nothing has arrived and whose last
// response is at most maxIdle old, or nil. It closes connections that are expired
// or no longer silent.
func (p *pool) takeIdle(now time.Time, maxIdle time.Duration) *conn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		idleFor := now.Sub(c.lastResponse)
		if idleFor <= maxIdleTime && c.openAndSilent() {
			if idleFor <= maxIdle {
				return c
			}
			p.putIdle(c)
			return nil
		}
		p.discard(c)
	}
}

func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// reserve counts a connection that is about to be dialled. When limit connections
// are open, it closes the least recently used idle one, if there is one. A limit
// of 0 means no limit.
func (p *pool) reserve(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open >= limit && len(p.idle) > 0 {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
	p.open++
}

func (p *pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// discard closes a connection and stops counting it. nil stands for a reserved
// connection whose dial failed.
func (p *pool) discard(c *conn) {
	if c != nil {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeExpired closes connections that have been idle for longer than maxIdleTime.
// It returns the number of open connections left, including those in use.
func (p *pool) closeExpired(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastResponse) <= maxIdleTime {
			kept = append(kept, c)
			continue
		}
		c.Close()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return p.open
}

// closeIdle closes every idle connection.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}
