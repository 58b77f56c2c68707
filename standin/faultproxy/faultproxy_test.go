package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
)

// Bytes that are sent during a stall arrive after it, also when their sender has closed the
// connection meanwhile.
func TestStalledBytesArriveAfterTheStall(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	received := make(chan string, 1)
	go func() {
		conn, err := target.Accept()
		if err != nil {
			received <- err.Error()
			return
		}
		text, _ := io.ReadAll(conn) // the sender closes the connection
		received <- string(text)
	}()
	proxy, err := faultproxy.New(target.Addr().String())
	must.NoError(t, err)
	defer proxy.Close()
	proxy.SetFault(faultproxy.ClientToTarget, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Stall: true})
	conn, err := net.Dial("tcp", proxy.Addr())
	must.NoError(t, err)
	_, err = conn.Write([]byte("order"))
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	select {
	case text := <-received:
		must.Unreachable(t, must.Sprintf("received %q during the stall", text))
	case <-time.After(200 * time.Millisecond):
	}
	proxy.ClearFaults()
	must.Eq(t, "order", <-received)
}
