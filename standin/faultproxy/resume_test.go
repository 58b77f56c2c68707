package faultproxy_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
)

// Bytes that are still on their way after a stall are kept by the next one, and connections that
// are opened while new ones are frozen carry nothing.
func TestResumedConnectionsAreKeptByTheNextStall(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	received := make(chan string, 2)
	accepted := make(chan string, 2) // the proxy's ends of the connections to the target
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			accepted <- conn.RemoteAddr().String()
			go func() {
				buf := make([]byte, 16)
				if n, err := conn.Read(buf); err == nil {
					received <- string(buf[:n])
				}
			}()
		}
	}()
	proxy, err := faultproxy.New(target.Addr().String())
	must.NoError(t, err)
	defer proxy.Close()
	send := func(text string) {
		conn, err := net.Dial("tcp", proxy.Addr())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = conn.Write([]byte(text))
		must.NoError(t, err)
		remote := <-accepted
		for proxy.ReceivedAt(remote).IsZero() {
			time.Sleep(time.Millisecond) // until the proxy has the bytes
		}
	}
	stall := faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Stall: true, ResumeWithin: time.Hour}
	proxy.SetFault(faultproxy.ClientToTarget, stall)
	send("kept")
	proxy.FreezeNewConnections(true)
	send("frozen")
	proxy.FreezeNewConnections(false)
	stall.ResumeWithin = 0
	proxy.SetFault(faultproxy.ClientToTarget, stall)
	must.Eq(t, 0, len(received))
	proxy.SetFault(faultproxy.ClientToTarget, faultproxy.NoFault)
	must.Eq(t, "kept", <-received)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 0, len(received))
}
