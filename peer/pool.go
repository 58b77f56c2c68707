package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/countedconn"
)

// Pool keeps one connection per peer address and makes calls over it.
// It is safe for concurrent use.
type Pool struct {
	opts Options

	mu     sync.Mutex
	closed bool
	conns  map[string]*pooledConn // by peer address; without retired connections
}

// NewPool returns a Pool without connections; it dials a peer at the first call.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts.withDefaults(), conns: make(map[string]*pooledConn)}
}

var _ Caller = (*Pool)(nil)

// pooledConn is a connection to one peer, or a dial in progress. A retired connection
// takes no new calls. Calls in flight on it go on until their own deadlines, and it
// is closed when the last of them ends.
type pooledConn struct {
	ready    chan struct{} // closed when the dial has ended
	client   *rpc.Client   // set before ready is closed; nil if the dial failed
	err      error         // of the dial; set before ready is closed
	inFlight int
	retired  bool
}

// Call implements Caller. It sends each request at most once.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.opts.Timeout)
		defer cancel()
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, method,
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("server.address", address)))
	defer span.End()
	err := p.call(ctx, address, method, args, reply)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	p.countCall(method, err)
	return err
}

func (p *Pool) call(ctx context.Context, address, method string, args, reply any) error {
	pc, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer p.release(pc)
	// Decode into a separate value: a late response may be decoded after this call
	// has returned, when reply belongs to the caller again.
	response := reflect.New(reflect.TypeOf(reply).Elem())
	call := pc.client.Go(method, envelope{ctx: ctx, args: args}, response.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err := p.handleCallError(address, pc, call.Error)
		if err == nil && deadlinePassed(ctx) {
			return errors.Wrapf(context.DeadlineExceeded, "calling %s of peer %s", method, address)
		}
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(response.Elem())
		}
		return err
	case <-ctx.Done():
		// The connection may no longer deliver anything, so later calls use a new one.
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			p.retire(address, pc)
		}
		return errors.Wrapf(context.Cause(ctx), "calling %s of peer %s", method, address)
	}
}

// deadlinePassed reports whether the call's deadline has passed, even if the context's
// timer has not fired yet. The serving side stops at the deadline too, so the response
// may be empty.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// handleCallError wraps the error of a finished call. An error that the service did
// not return itself means that the connection broke, so the connection is retired.
func (p *Pool) handleCallError(address string, pc *pooledConn, err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return errors.Wrapf(err, "peer %s", address)
	}
	p.retire(address, pc)
	return newUnavailableError(address, err)
}

// unavailableError is the error of a call that got no response. Its chain holds both
// an *apierr.Error and the cause.
type unavailableError struct {
	typed *apierr.Error
	cause error
}

func (e *unavailableError) Error() string   { return e.typed.Error() }
func (e *unavailableError) Unwrap() []error { return []error{e.typed, e.cause} }

func newUnavailableError(address string, cause error) error {
	message := fmt.Sprintf("peer %s was not reached: %v", address, cause)
	typed := apierr.New(apierr.Unavailable, message, "check the network between the hosts; the call may be made again")
	return &unavailableError{typed: typed, cause: cause}
}

func newNotSentError(address string, cause error) error {
	return newUnavailableError(address, errors.Join(ErrNotSent, cause))
}

// acquire returns the connection to address and dials it if there is none. Concurrent
// callers share one dial. The caller must release the connection.
func (p *Pool) acquire(ctx context.Context, address string) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, newNotSentError(address, net.ErrClosed)
	}
	pc := p.conns[address]
	if pc == nil {
		pc = &pooledConn{ready: make(chan struct{})}
		p.conns[address] = pc
		go p.dial(address, pc)
	}
	pc.inFlight++
	p.mu.Unlock()
	select {
	case <-pc.ready:
	case <-ctx.Done():
		p.release(pc)
		return nil, newNotSentError(address, ctx.Err())
	}
	if pc.err != nil {
		p.release(pc)
		return nil, newNotSentError(address, pc.err)
	}
	return pc, nil
}

// dial connects pc to address, or sets pc.err if that fails, and then closes pc.ready.
func (p *Pool) dial(address string, pc *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.Timeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err == nil {
		conn = countedconn.New(conn, p.opts.Metrics, "cyclamentray_peer_bytes_total")
		onFailure := func() { p.retire(address, pc) }
		pc.client = rpc.NewClientWithCodec(&clientCodec{stream: newStream(conn, conn), onFailure: onFailure})
	} else {
		p.retire(address, pc)
	}
	pc.err = err
	close(pc.ready)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIfUnused(pc)
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	if p.opts.TLS == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	d := tls.Dialer{Config: p.opts.TLS}
	return d.DialContext(ctx, "tcp", address)
}

// retire removes a connection from the pool, so that it takes no new calls.
func (p *Pool) retire(address string, pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == pc {
		delete(p.conns, address)
	}
	pc.retired = true
	p.closeIfUnused(pc)
}

func (p *Pool) release(pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc.inFlight--
	p.closeIfUnused(pc)
}

// closeIfUnused closes a retired connection that has no calls in flight. The caller
// holds mu.
func (p *Pool) closeIfUnused(pc *pooledConn) {
	if !pc.retired || pc.inFlight > 0 {
		return
	}
	select {
	case <-pc.ready:
		if pc.client != nil {
			go pc.client.Close()
		}
	default: // still dialling; dial calls closeIfUnused when it has ended
	}
}

// Close closes every connection. Calls in flight and later ones fail.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, pc := range p.conns {
		delete(p.conns, address)
		pc.retired = true
		select {
		case <-pc.ready:
			if pc.client != nil {
				go pc.client.Close()
			}
		default: // still dialling; closed by closeIfUnused after the dial
		}
	}
	return nil
}

func (p *Pool) countCall(method string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "error"
	}
	name := fmt.Sprintf(`cyclamentray_peer_calls_total{method=%q,outcome=%q}`, method, outcome)
	p.opts.Metrics.GetOrCreateCounter(name).Inc()
}
