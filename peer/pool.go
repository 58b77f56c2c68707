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

// Pool keeps one connection to each peer and makes calls over it.
// It is safe for concurrent use.
type Pool struct {
	opts Options

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts.withDefaults(), links: make(map[string]*link)}
}

var _ Caller = (*Pool)(nil)

// link is one connection. Once retired it takes no new calls; the calls it
// carries keep their own deadlines, and the last of them closes it.
type link struct {
	ready   chan struct{} // closed when dialled
	client  *rpc.Client   // set before ready is closed; nil: the dial failed
	err     error
	calls   int
	retired bool
}

// Call implements Caller. It does not send a request twice.
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
	p.count(method, err)
	return err
}

func (p *Pool) call(ctx context.Context, address, method string, args, reply any) error {
	l, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer p.release(l)
	// A late answer is decoded after we have gone, so not into the caller's reply.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := l.client.Go(method, envelope{ctx: ctx, args: args}, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err := p.settle(address, l, call.Error)
		if err == nil && late(ctx) {
			return errors.Wrapf(context.DeadlineExceeded, "calling %s of peer %s", method, address)
		}
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
		}
		return err
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.retire(address, l)
		}
		return errors.Wrapf(ctx.Err(), "calling %s of peer %s", method, address)
	}
}

// late reports whether the call's deadline has passed, also when its timer has
// not fired yet. The serving side gave up by then, so its answer may be empty.
func late(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// settle turns the error of a finished call into ours. Anything but the
// service's own error means that the connection broke.
func (p *Pool) settle(address string, l *link, err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return errors.Wrapf(err, "peer %s", address)
	}
	p.retire(address, l)
	return unreachable(address, err)
}

// lostError is a call that got no answer.
type lostError struct {
	typed *apierr.Error
	cause error
}

func (e *lostError) Error() string   { return e.typed.Error() }
func (e *lostError) Unwrap() []error { return []error{e.typed, e.cause} }

func unreachable(address string, cause error) error {
	message := fmt.Sprintf("peer %s was not reached: %v", address, cause)
	typed := apierr.New(apierr.Unavailable, message, "check the network between the hosts; the call may be made again")
	return &lostError{typed: typed, cause: cause}
}

func notSent(address string, cause error) error {
	return unreachable(address, errors.Join(ErrNotSent, cause))
}

// acquire returns the address's connection, dialling it if there is none.
// Callers that arrive during a dial share it.
func (p *Pool) acquire(ctx context.Context, address string) (*link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, notSent(address, net.ErrClosed)
	}
	l := p.links[address]
	if l == nil {
		l = &link{ready: make(chan struct{})}
		p.links[address] = l
		go p.dial(address, l)
	}
	l.calls++
	p.mu.Unlock()
	select {
	case <-l.ready:
	case <-ctx.Done():
		p.release(l)
		return nil, notSent(address, ctx.Err())
	}
	if l.err != nil {
		p.release(l)
		return nil, notSent(address, l.err)
	}
	return l, nil
}

func (p *Pool) dial(address string, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.Timeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err == nil {
		conn = countedconn.New(conn, p.opts.Metrics, "cyclamentray_peer_bytes_total")
		onBroken := func() { p.retire(address, l) }
		l.client = rpc.NewClientWithCodec(&clientCodec{stream: newStream(conn), onBroken: onBroken})
	} else {
		p.retire(address, l)
	}
	l.err = err
	close(l.ready)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIfUnused(l)
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	if p.opts.TLS == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	d := tls.Dialer{Config: p.opts.TLS}
	return d.DialContext(ctx, "tcp", address)
}

// retire keeps new calls off a connection.
func (p *Pool) retire(address string, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[address] == l {
		delete(p.links, address)
	}
	l.retired = true
	p.closeIfUnused(l)
}

func (p *Pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.calls--
	p.closeIfUnused(l)
}

// closeIfUnused closes a retired connection without calls. The caller holds mu.
func (p *Pool) closeIfUnused(l *link) {
	if !l.retired || l.calls > 0 {
		return
	}
	select {
	case <-l.ready:
		if l.client != nil {
			go l.client.Close()
		}
	default: // the dial ends by calling this again
	}
}

// Close closes every connection. Calls in progress fail.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, l := range p.links {
		delete(p.links, address)
		l.retired = true
		select {
		case <-l.ready:
			if l.client != nil {
				go l.client.Close()
			}
		default:
		}
	}
	return nil
}

func (p *Pool) count(method string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "error"
	}
	name := fmt.Sprintf(`cyclamentray_peer_calls_total{method=%q,outcome=%q}`, method, outcome)
	p.opts.Metrics.GetOrCreateCounter(name).Inc()
}
