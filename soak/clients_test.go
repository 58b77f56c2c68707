package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testCloseDelay = 100 * time.Millisecond
	testRequest    = "POST"
	testBody       = "0123456789"
)

// Guards against lost answers that a client takes for connections closed in time, and the
// other way round.
func TestClientTellsLostAnswersFromRequestsThatWereNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		serve  func(net.Conn)
		before time.Duration // from the connection to the request
		lost   bool
	}{
		"read whole, then closed":         {serve: func(c net.Conn) { readRequest(c); time.Sleep(testCloseDelay) }, lost: true},
		"closed in the middle of answers": {serve: func(c net.Conn) { readRequest(c); io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{") }, lost: true},
		"closed in the middle of a header, and reset": {serve: func(c net.Conn) {
			readRequest(c)
			io.WriteString(c, "HTTP/1.1 200")
			time.Sleep(testCloseDelay)
			must.NoError(t, c.(*net.TCPConn).SetLinger(0))
		}, lost: true},
		"closed before the request": {serve: func(net.Conn) {}, before: testCloseDelay},
		"closed with unread bytes":  {serve: func(net.Conn) { time.Sleep(testCloseDelay) }},
		"closed with part unread":   {serve: func(c net.Conn) { io.ReadFull(c, make([]byte, 20)); time.Sleep(testCloseDelay) }},
	} {
		t.Run(name, func(t *testing.T) {
			client := connectTo(t, c.serve)
			time.Sleep(c.before)
			answer := client.request(testRequest, "name", "/", testBody, 0)
			must.Zero(t, answer.status)
			must.Eq(t, c.lost, answer.lost)
			must.True(t, client.ended)
		})
	}
}

// Guards against a client that leaves a connection that goes on, or stays on one that ends.
func TestClientKeepsConnectionUntilItEnds(t *testing.T) {
	client := connectTo(t, func(c net.Conn) {
		readRequest(c)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		readRequest(c)
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	})
	must.Eq(t, 200, client.request(testRequest, "name", "/", testBody, testCloseDelay).status)
	must.False(t, client.ended)
	must.Eq(t, 503, client.request(testRequest, "name", "/", testBody, 0).status)
	must.True(t, client.ended)
}

// connectTo returns a client of a server that serves one connection and closes it.
func connectTo(t *testing.T, serve func(net.Conn)) *connectionClient {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		serve(conn)
		conn.Close()
	}()
	client, err := dialClient(l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(client.close)
	return client
}

func readRequest(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
}
