package connlimit_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/connlimit"
)

// lateListener accepts connections whose reads return some time after bytes were read, as on a
// machine that is overloaded. read gets a value when bytes were read.
type lateListener struct {
	net.Listener
	delay time.Duration
	read  chan struct{}
}

type lateConn struct {
	net.Conn
	listener *lateListener
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return lateConn{c, l}, err
}

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		select {
		case c.listener.read <- struct{}{}:
		default:
		}
		time.Sleep(c.listener.delay)
	}
	return n, err
}

// serveToDrain starts an HTTP server whose listener can be drained. The returned channel gets a
// value when bytes of a client were read.
func serveToDrain(t *testing.T, handler http.HandlerFunc) (l *connlimit.Listener, read <-chan struct{}) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	late := &lateListener{Listener: inner, delay: 100 * time.Millisecond, read: make(chan struct{}, 1)}
	l = connlimit.Limit(late, 100, time.Hour, func() {})
	server := &http.Server{Handler: connlimit.TrackRequests(handler), ConnContext: connlimit.ConnContext, ConnState: connlimit.ConnState, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, late.read
}

func drain(t *testing.T, l *connlimit.Listener) <-chan error {
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context(), 0) }()
	return drained
}

func mustBeAnsweredAndClosed(t *testing.T, c net.Conn) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, answer.StatusCode)
	must.True(t, answer.Close)
	mustBeClosed(t, c)
}

// Guards against a request without an answer: its bytes were read, and its connection was ended
// before they were looked at.
func TestRequestThatWasReadBeforeADrainIsAnswered(t *testing.T) {
	for name, used := range map[string]bool{"on a new connection": false, "on a used connection": true} {
		t.Run(name, func(t *testing.T) {
			l, read := serveToDrain(t, func(http.ResponseWriter, *http.Request) {})
			c := dial(t, l.Addr().String())
			if used {
				send(t, c, request)
				mustBeAnswered(t, c)
				<-read
			}
			send(t, c, request)
			<-read
			drained := drain(t, l)
			mustBeAnsweredAndClosed(t, c)
			must.NoError(t, <-drained)
		})
	}
}

// Guards against a request without an answer that arrives in parts while its host drains.
func TestRequestThatGoesOnArrivingDuringADrainIsAnswered(t *testing.T) {
	l, read := serveToDrain(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	c := dial(t, l.Addr().String())
	send(t, c, "POST / HTTP/1.1\r\nHo")
	<-read
	drained := drain(t, l)
	time.Sleep(20 * time.Millisecond)
	send(t, c, "st: a\r\nContent-Length: 2\r\n\r\n{")
	<-read
	send(t, c, "}")
	mustBeAnsweredAndClosed(t, c)
	must.NoError(t, <-drained)
}

// Guards against a drain that cuts off what is being served, or ends before it.
func TestRequestBeingServedIsAnsweredBeforeADrainEnds(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	l, _ := serveToDrain(t, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-end
	})
	c := dial(t, l.Addr().String())
	send(t, c, request)
	<-began
	drained := drain(t, l)
	select {
	case <-drained:
		must.Unreachable(t, must.Sprint("a request is being served"))
	case <-time.After(50 * time.Millisecond):
	}
	close(end)
	mustBeAnswered(t, c)
	must.NoError(t, <-drained)
}

// Guards against a drain that ends connections on which a request may be under way.
func TestDrainEndsConnectionsThatHaveWaitedLongerThanItsLinger(t *testing.T) {
	l, read := serveToDrain(t, func(http.ResponseWriter, *http.Request) {})
	unused, used := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	send(t, used, request)
	mustBeAnswered(t, used)
	<-read
	lingering := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { lingering <- l.Drain(ctx, time.Hour) }()
	time.Sleep(50 * time.Millisecond)
	send(t, used, request)
	mustBeAnsweredAndClosed(t, used)
	cancel()
	must.ErrorIs(t, <-lingering, context.Canceled)
	_, err := net.Dial("tcp", l.Addr().String())
	must.Error(t, err)
	send(t, unused, request)
	mustBeAnsweredAndClosed(t, unused)
}

// Guards against a drain that waits for connections on which nothing comes.
func TestDrainEndsIdleConnectionsAtOnce(t *testing.T) {
	l, read := serveToDrain(t, func(http.ResponseWriter, *http.Request) {})
	unused, used := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	send(t, used, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n") // the handler leaves the body unread
	<-read
	send(t, used, "{}")
	mustBeAnswered(t, used)
	<-read
	time.Sleep(300 * time.Millisecond) // until the server waits for the next request
	drained := drain(t, l)
	mustBeClosed(t, unused)
	mustBeClosed(t, used)
	must.NoError(t, <-drained)
}
