// Package faultproxy is a TCP proxy for tests that delays, cuts, freezes or
// swallows what passes through it, separately for each direction.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes  = 32 << 10
	dialTimeout = 5 * time.Second
)

// Direction tells which way bytes flow.
type Direction int

// The directions.
const (
	ClientToTarget Direction = iota // from the client to the target
	TargetToClient                  // from the target to the client
)

// NoCut leaves a direction uncut.
const NoCut int64 = -1

// Fault is what happens to the bytes of one direction. The zero value cuts at
// the first byte; start from None.
type Fault struct {
	Delay         time.Duration // each chunk waits this long
	CutAfterBytes int64         // bytes passed before both sides are closed; NoCut: never
	Blackhole     bool          // bytes are read and dropped
}

// NoFault is a direction without a fault.
var NoFault = Fault{CutAfterBytes: NoCut}

// Proxy forwards TCP connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	target string
	faults [2]Fault
	links  map[*link]struct{}
	refuse bool
	opened int
	closed bool
}

// New listens on a free loopback port and forwards to target.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, faults: [2]Fault{NoFault, NoFault}, links: make(map[*link]struct{})}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the proxy's IP:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetFault puts a fault on one direction of every connection, open and new. Bytes
// already passed on a connection count towards CutAfterBytes.
func (p *Proxy) SetFault(d Direction, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d] = f
}

// ClearFaults removes the faults set on both directions. Frozen connections stay frozen.
func (p *Proxy) ClearFaults() {
	p.SetFault(ClientToTarget, NoFault)
	p.SetFault(TargetToClient, NoFault)
	p.RefuseNewConnections(false)
}

// RefuseNewConnections closes new connections at once while on.
func (p *Proxy) RefuseNewConnections(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// FreezeOpenConnections silences one direction of the connections open now, for good. They
// stay open, and new ones work.
func (p *Proxy) FreezeOpenConnections(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.frozen[d] = true
	}
}

// CloseOpenConnections closes the connections open now.
func (p *Proxy) CloseOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

// AcceptedConnections returns how many connections were accepted so far.
func (p *Proxy) AcceptedConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// ForwardedBytes returns the bytes passed in one direction on the connections open now.
func (p *Proxy) ForwardedBytes(d Direction) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var n int64
	for l := range p.links {
		n += l.passed[d]
	}
	return n
}

// Close stops listening, closes every connection and waits for them to end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for l := range p.links {
		l.close()
	}
	p.mu.Unlock()
	p.listener.Close()
	p.wg.Wait()
}

// link is one proxied connection. Proxy.mu guards frozen and passed.
type link struct {
	client net.Conn
	server net.Conn
	frozen [2]bool
	passed [2]int64
}

func (l *link) close() {
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
	p.opened++
	target, refuse := p.target, p.refuse
	p.mu.Unlock()
	if refuse {
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	l := &link{client: client, server: server}
	defer l.close()
	if !p.add(l) {
		return
	}
	defer p.remove(l)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.copy(l, ClientToTarget, server, client)
	}()
	p.copy(l, TargetToClient, client, server)
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// copy passes bytes of one direction until either side ends or a fault cuts.
func (p *Proxy) copy(l *link, d Direction, dst, src net.Conn) {
	defer l.close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.pass(l, d, dst, buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass applies the direction's fault to a chunk; it reports whether to go on.
func (p *Proxy) pass(l *link, d Direction, dst net.Conn, chunk []byte) bool {
	p.mu.Lock()
	f := p.faults[d]
	frozen := l.frozen[d]
	room := int64(len(chunk))
	if f.CutAfterBytes >= 0 {
		room = min(room, max(0, f.CutAfterBytes-l.passed[d]))
	}
	if !frozen && !f.Blackhole {
		l.passed[d] += room
	}
	cut := f.CutAfterBytes >= 0 && l.passed[d] >= f.CutAfterBytes
	p.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if frozen || f.Blackhole {
		return true
	}
	if _, err := dst.Write(chunk[:room]); err != nil {
		return false
	}
	return !cut
}
