package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamentray/cyclamentray/telemetry"
)

// responseWriteTimeout limits how long the server blocks when it sends a response to
// a peer that does not read.
const responseWriteTimeout = 5 * time.Second

const tracerName = "github.com/cyclamentray/cyclamentray/peer"

var propagator = propagation.TraceContext{}

// requestHeader precedes each request. Besides the fields of net/rpc's header it
// carries the trace and the time for which the caller still waits.
type requestHeader struct {
	Method string
	Seq    uint64
	Trace  string        // W3C traceparent; empty: none
	Wait   time.Duration // how long the caller waits, from sending
}

type responseHeader struct {
	Seq   uint64
	Error string // empty: success
}

// stream encodes and decodes gob messages on one connection. Both codecs use it.
type stream struct {
	conn net.Conn
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
}

func newStream(conn net.Conn, in io.Reader) stream {
	buf := bufio.NewWriter(conn)
	return stream{conn: conn, dec: gob.NewDecoder(bufio.NewReader(in)), enc: gob.NewEncoder(buf), buf: buf}
}

// send writes a header and a body by the deadline. On an error it closes the
// connection, since part of the message may have been written.
func (s *stream) send(deadline time.Time, header, body any) error {
	err := s.conn.SetWriteDeadline(deadline)
	if err == nil {
		err = s.encode(header, body)
	}
	if err != nil {
		_ = s.conn.Close()
	}
	return err
}

func (s *stream) encode(header, body any) error {
	if err := s.enc.Encode(header); err != nil {
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	return s.buf.Flush()
}

// envelope passes the arguments of a call and its context, which has a deadline,
// from Pool.Call to the client codec.
type envelope struct {
	ctx  context.Context
	args any
}

// clientCodec implements rpc.ClientCodec on a pooled connection.
type clientCodec struct {
	stream
	onFailure func() // called when a read or write fails: the connection cannot be used again
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	e := body.(envelope)
	h := requestHeader{Method: r.ServiceMethod, Seq: r.Seq}
	carrier := propagation.MapCarrier{}
	propagator.Inject(e.ctx, carrier)
	h.Trace = carrier["traceparent"]
	deadline, _ := e.ctx.Deadline()
	h.Wait = time.Until(deadline)
	err := c.send(deadline, h, e.args)
	if err != nil {
		c.onFailure()
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.dec.Decode(&h); err != nil {
		c.onFailure()
		return err
	}
	r.Seq, r.Error = h.Seq, h.Error
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.dec.Decode(body)
	if err != nil {
		c.onFailure()
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCall is the state of a request that is being served.
type serverCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span
}

// serverCodec implements rpc.ServerCodec. net/rpc reads in one goroutine and
// serialises writes with a lock of its own; mu guards calls, which both use.
type serverCodec struct {
	stream
	in      *messageReader
	used    func()          // called after each request was read
	host    string          // name of the serving host, for spans
	ctx     context.Context // cancelled when the connection closes
	cancel  context.CancelFunc
	bodySeq uint64 // sequence number of the request whose body is read next

	mu    sync.Mutex
	calls map[uint64]serverCall // by sequence number
}

func newServerCodec(conn net.Conn, o Options) *serverCodec {
	ctx, cancel := context.WithCancel(context.Background())
	in := newMessageReader(conn, o.Messages)
	return &serverCodec{stream: newStream(conn, in), in: in, host: o.Host, ctx: ctx, cancel: cancel, calls: make(map[uint64]serverCall)}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.dec.Decode(&h); err != nil {
		c.cancel()
		return err
	}
	r.ServiceMethod, r.Seq, c.bodySeq = h.Method, h.Seq, h.Seq
	c.beginCall(h)
	return nil
}

// beginCall starts the span and the context of a request.
func (c *serverCodec) beginCall(h requestHeader) {
	ctx := propagator.Extract(c.ctx, propagation.MapCarrier{"traceparent": h.Trace})
	ctx, span := otel.Tracer(tracerName).Start(ctx, h.Method,
		trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("rpc.system", "net/rpc"), telemetry.HostKey.String(c.host)))
	cancel := context.CancelFunc(func() {})
	if h.Wait > 0 {
		ctx, cancel = context.WithTimeout(ctx, h.Wait)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[h.Seq] = serverCall{ctx: ctx, cancel: cancel, span: span}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.dec.Decode(body); err != nil {
		return err
	}
	c.used()
	if setter, ok := body.(ContextSetter); ok {
		c.mu.Lock()
		ctx := c.calls[c.bodySeq].ctx
		c.mu.Unlock()
		setter.SetContext(ctx)
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.endCall(r.Seq, r.Error)
	return c.send(time.Now().Add(responseWriteTimeout), responseHeader{Seq: r.Seq, Error: r.Error}, body)
}

// endCall ends the span and the context of a request. failure is the error text of
// its response; empty: success.
func (c *serverCodec) endCall(seq uint64, failure string) {
	c.mu.Lock()
	call, ok := c.calls[seq]
	delete(c.calls, seq)
	c.mu.Unlock()
	if !ok {
		return
	}
	if failure != "" {
		call.span.SetStatus(codes.Error, failure)
	}
	call.span.End()
	call.cancel()
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	c.cancel()
	c.in.close()
	return c.conn.Close()
}
