package faultproxy_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
)

// Bytes that a stall keeps are received before it, and at the target after it. Others aren't kept.
func TestReceivedAtIsTheTimeBeforeAStall(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	proxy, err := faultproxy.New(target.Addr().String())
	must.NoError(t, err)
	defer proxy.Close()
	proxy.SetFault(faultproxy.ClientToTarget, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Stall: true})
	client, err := net.Dial("tcp", proxy.Addr())
	must.NoError(t, err)
	defer client.Close()
	_, err = client.Write([]byte("kept"))
	must.NoError(t, err)
	conn, err := target.Accept()
	must.NoError(t, err)
	defer conn.Close()
	for proxy.ReceivedAt(conn.RemoteAddr().String()).IsZero() {
		time.Sleep(time.Millisecond) // until the proxy has the bytes
	}
	time.Sleep(time.Millisecond)
	proxy.SetFault(faultproxy.ClientToTarget, faultproxy.NoFault)
	ended := time.Now()
	_, err = conn.Read(make([]byte, 16))
	must.NoError(t, err)
	received := proxy.ReceivedAt(conn.RemoteAddr().String())
	must.False(t, received.IsZero())
	must.True(t, received.Before(ended))
	must.True(t, proxy.ReceivedAt("unknown").IsZero())
	kept := proxy.KeptFor(conn.RemoteAddr().String())
	must.Between(t, ended.Sub(received), kept, time.Since(received))
	must.Eq(t, 0, proxy.KeptFor("unknown"))

	_, err = client.Write([]byte("forwarded"))
	must.NoError(t, err)
	_, err = conn.Read(make([]byte, 16))
	must.NoError(t, err)
	must.Eq(t, 0, proxy.KeptFor(conn.RemoteAddr().String()))
}
