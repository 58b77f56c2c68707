package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/countedconn"
)

// Server serves net/rpc calls from other entry hosts. It is safe for concurrent use.
type Server struct {
	opts Options
	rpc  *rpc.Server

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]bool
	conns     map[net.Conn]bool
	serving   sync.WaitGroup // one for each connection that is being served
}

// NewServer returns a Server without services.
func NewServer(opts Options) *Server {
	return &Server{
		opts:      opts.withDefaults(),
		rpc:       rpc.NewServer(),
		listeners: make(map[net.Listener]bool),
		conns:     make(map[net.Conn]bool),
	}
}

// Register serves rcvr's methods under the service name, such as "Config".
func (s *Server) Register(name string, rcvr any) error { return s.rpc.RegisterName(name, rcvr) }

// Serve accepts connections on l until Close is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return errors.Wrap(err, "accepting a peer's connection")
		}
		s.accept(conn)
	}
}

// addListener adds l to the listeners that Close closes. It returns false if the server
// is closed already.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[l] = true
	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) accept(conn net.Conn) {
	if s.opts.TLS != nil {
		conn = tls.Server(conn, s.opts.TLS)
	}
	conn = countedconn.New(conn, s.opts.Metrics, "cyclamentray_peer_bytes_total")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.conns[conn] = true
	s.serving.Add(1)
	go s.serveConn(conn)
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.serving.Done()
	s.rpc.ServeCodec(newServerCodec(conn, s.opts.Host))
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes the listeners and every connection, and waits for calls in progress to
// return.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
	return nil
}
