package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/connlimit"
)

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// serve starts an HTTP server with a limit of connections and returns its address.
func serve(t *testing.T, limit int, minWait time.Duration, handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: connlimit.TrackRequests(handler), ConnContext: connlimit.ConnContext, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(connlimit.Limit(l, limit, minWait, func() {})) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

func mustBeAnswered(t *testing.T, c net.Conn) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, answer.StatusCode)
}

func mustBeClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	must.Error(t, err)
}

// Guards against callers that wait behind connections on which no request comes.
func TestConnectionThatWaitedLongestIsClosed(t *testing.T) {
	address := serve(t, 2, 0, func(http.ResponseWriter, *http.Request) {})
	used, unused := dial(t, address), dial(t, address)
	send(t, unused, request)
	mustBeAnswered(t, unused)
	send(t, unused, "GET / HT")
	send(t, used, request)
	mustBeAnswered(t, used)
	late := dial(t, address)
	send(t, late, request)
	mustBeAnswered(t, late)
	mustBeClosed(t, unused)
	send(t, used, request)
	mustBeAnswered(t, used)
}

// Guards against requests that are cut off while they are served.
func TestConnectionBeingServedIsNotClosed(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	address := serve(t, 1, 0, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		began <- struct{}{}
		<-end
	})
	served := dial(t, address)
	send(t, served, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	<-began
	mustBeClosed(t, dial(t, address))
	close(end)
	mustBeAnswered(t, served)
}

// Guards against a connection that is closed for a new one before its request can arrive.
func TestConnectionThatHasJustComeIsNotClosed(t *testing.T) {
	address := serve(t, 1, time.Hour, func(http.ResponseWriter, *http.Request) {})
	first := dial(t, address)
	mustBeClosed(t, dial(t, address))
	send(t, first, request)
	mustBeAnswered(t, first)
}
