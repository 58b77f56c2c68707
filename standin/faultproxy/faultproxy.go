// Package faultproxy is a TCP proxy for fault injection: it delays or drops the
// bytes that it forwards, for each direction separately, and cuts, freezes or
// refuses connections. It holds the faults that are set and the open
// connections. Tests and package soak use it.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	chunkBytes  = 32 << 10
	dialTimeout = 5 * time.Second
)

// Direction is the direction of a byte stream through the proxy.
type Direction int

// The directions.
const (
	ClientToTarget Direction = iota // from the client to the target
	TargetToClient                  // from the target to the client
)

// NoCut, as Fault.CutAfterBytes, never closes the connection.
const NoCut int64 = -1

// Fault describes what happens to the bytes of one direction. The zero value
// closes connections at the first byte; use NoFault as the base value.
type Fault struct {
	Delay         time.Duration // before each chunk is forwarded
	CutAfterBytes int64         // bytes forwarded before both sides are closed; NoCut: never
	Blackhole     bool          // bytes are read and dropped
	Stall         bool          // bytes are kept, as by a partition, and forwarded once a fault without Stall is set
	// ResumeWithin, with Stall, has each connection go on at a random time of its own after the
	// stall, as retransmissions back off: as long as its bytes were kept at most, and at most
	// this long. 0: all go on at once.
	ResumeWithin time.Duration
}

// NoFault forwards all bytes without delay.
var NoFault = Fault{CutAfterBytes: NoCut}

// Proxy forwards TCP connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu          sync.Mutex
	changed     *sync.Cond // a fault was set, or the proxy was closed
	target      string
	faults      [2]Fault
	connections map[*connection]struct{}
	refuseNew   bool
	freezeNew   bool
	accepted    int
	closed      bool
}

// New listens on a free loopback port and forwards to target.
func New(target string) (*Proxy, error) { return NewAt("127.0.0.1:0", target) }

// NewAt listens on address and forwards to target.
func NewAt(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, faults: [2]Fault{NoFault, NoFault}, connections: make(map[*connection]struct{})}
	p.changed = sync.NewCond(&p.mu)
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the IP:port that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes the target of new connections. Open ones keep theirs.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetFault sets the fault of one direction for every connection, open and new.
// Bytes already forwarded on a connection count towards CutAfterBytes.
func (p *Proxy) SetFault(d Direction, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d] = f
	p.changed.Broadcast()
}

// ClearFaults removes the faults of both directions and accepts new connections
// again. Frozen connections stay frozen.
func (p *Proxy) ClearFaults() {
	p.SetFault(ClientToTarget, NoFault)
	p.SetFault(TargetToClient, NoFault)
	p.RefuseNewConnections(false)
}

// RefuseNewConnections sets whether new connections are closed as soon as they
// are accepted.
func (p *Proxy) RefuseNewConnections(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseNew = on
}

// FreezeNewConnections sets whether both directions of connections that are accepted from now
// on are frozen, as if they had not been opened.
func (p *Proxy) FreezeNewConnections(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freezeNew = on
}

// FreezeOpenConnections drops all further bytes of one direction on the
// connections that are open now. They stay open; new ones are not affected.
func (p *Proxy) FreezeOpenConnections(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.connections {
		l.frozen[d] = true
	}
}

// CloseOpenConnections closes the connections that are open now.
func (p *Proxy) CloseOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.connections {
		l.close()
	}
}

// AcceptedConnections returns the number of connections accepted so far,
// refused ones included.
func (p *Proxy) AcceptedConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// ForwardedBytes returns the number of bytes forwarded in one direction on the
// connections that are open now.
func (p *Proxy) ForwardedBytes(d Direction) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var n int64
	for l := range p.connections {
		n += l.forwarded[d]
	}
	return n
}

// ReceivedAt returns when the proxy received the last bytes from the client of the connection
// that the target sees as remote; the zero time: there is none.
func (p *Proxy) ReceivedAt(remote string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.connections {
		if l.server.LocalAddr().String() == remote {
			return l.receivedAt
		}
	}
	return time.Time{}
}

// KeptFor returns how long a stall has kept the last bytes from the client of the connection that
// the target sees as remote; 0: none has.
func (p *Proxy) KeptFor(remote string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.connections {
		if l.server.LocalAddr().String() == remote {
			return l.keptFor
		}
	}
	return 0
}

// Close stops listening, closes every connection and waits for the goroutines
// that serve them.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	for l := range p.connections {
		l.close()
	}
	p.mu.Unlock()
	p.listener.Close()
	p.wg.Wait()
}

// connection is one proxied connection; frozen and forwarded are indexed by
// Direction. Proxy.mu guards both.
type connection struct {
	client     net.Conn
	server     net.Conn
	frozen     [2]bool
	forwarded  [2]int64
	receivedAt time.Time     // of the last bytes from the client; guarded as well
	keptFor    time.Duration // how long a stall has kept them; guarded as well
}

func (l *connection) close() {
	l.client.Close()
	l.server.Close()
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.wg.Done()
	defer client.Close()
	p.mu.Lock()
	p.accepted++
	target, refuse, freeze := p.target, p.refuseNew, p.freezeNew
	p.mu.Unlock()
	if refuse {
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	l := &connection{client: client, server: server, frozen: [2]bool{freeze, freeze}}
	defer l.close()
	if !p.addConnection(l) {
		return
	}
	defer p.removeConnection(l)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.copyDirection(l, ClientToTarget, server, client)
	}()
	p.copyDirection(l, TargetToClient, client, server)
}

func (p *Proxy) addConnection(l *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.connections[l] = struct{}{}
	return true
}

func (p *Proxy) removeConnection(l *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, l)
}

// copyDirection forwards the bytes of one direction until either side closes or
// a fault cuts the connection. Then it closes both sides.
func (p *Proxy) copyDirection(l *connection, d Direction, dst, src net.Conn) {
	defer l.close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.forward(l, d, dst, buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward applies the direction's fault to a chunk and writes what remains. It
// reports whether the connection stays open.
func (p *Proxy) forward(l *connection, d Direction, dst net.Conn, chunk []byte) bool {
	receivedAt := time.Now()
	if d == ClientToTarget {
		p.mu.Lock()
		l.receivedAt, l.keptFor = receivedAt, 0
		p.mu.Unlock()
	}
	kept := p.waitForStall(d)
	p.mu.Lock()
	if kept && d == ClientToTarget {
		l.keptFor = time.Since(receivedAt)
	}
	f := p.faults[d]
	frozen := l.frozen[d]
	allowed := int64(len(chunk))
	if f.CutAfterBytes >= 0 {
		allowed = min(allowed, max(0, f.CutAfterBytes-l.forwarded[d]))
	}
	if !frozen && !f.Blackhole {
		l.forwarded[d] += allowed
	}
	cut := f.CutAfterBytes >= 0 && l.forwarded[d] >= f.CutAfterBytes
	p.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if frozen || f.Blackhole {
		return true
	}
	if _, err := dst.Write(chunk[:allowed]); err != nil {
		return false
	}
	return !cut
}

// waitForStall returns when bytes may go on that arrived in the given direction: at once, or
// some time after the end of a stall, unless there is another one then. It reports whether a
// stall has kept them.
func (p *Proxy) waitForStall(d Direction) (kept bool) {
	for {
		began := time.Now()
		stalled, resumeWithin := p.stallEnds(d)
		kept = kept || stalled
		limit := min(time.Since(began), resumeWithin)
		if limit <= 0 {
			return kept
		}
		time.Sleep(rand.N(limit))
	}
}

// stallEnds waits for the end of a stall of the given direction. It returns whether there was
// one, and the last one's ResumeWithin.
func (p *Proxy) stallEnds(d Direction) (stalled bool, resumeWithin time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.faults[d].Stall && !p.closed {
		stalled, resumeWithin = true, p.faults[d].ResumeWithin
		p.changed.Wait()
	}
	return stalled, resumeWithin
}
