package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/connlimit"
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
			if isShortage(err) {
				s.opts.Logger.Warn("a peer's connection was not accepted", "err", err)
				time.Sleep(acceptRetryInterval)
				continue
			}
			return errors.Wrap(err, "accepting a peer's connection")
		}
		s.accept(conn)
	}
}

// acceptRetryInterval is the time between two tries when descriptors or memory are short.
const acceptRetryInterval = 200 * time.Millisecond

// isShortage reports whether a failed accept may succeed later.
func isShortage(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED)
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
	used := func() {}
	if limited, ok := conn.(*connlimit.Conn); ok {
		used = limited.Waiting
	}
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
	go s.serveConn(conn, used)
}

// serveConn serves the calls on conn; used is called after each request was read.
func (s *Server) serveConn(conn net.Conn, used func()) {
	defer s.serving.Done()
	codec := newServerCodec(conn, s.opts)
	codec.used = used
	s.rpc.ServeCodec(codec)
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
