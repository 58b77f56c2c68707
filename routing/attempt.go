package routing

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	tracerName = "cyclamentray/routing"

	// maxBufferedBytes is the number of bytes of a response body that are read
	// before the caller gets the first byte. Bodies of that size or larger are
	// streamed, and the caller's connection is aborted when they are truncated.
	maxBufferedBytes = 256 << 10
)

var errNoBodyLength = errors.New("routing: the response has neither Content-Length nor chunked encoding, so truncation could not be detected; have the upstream send one of them")

var errWrongRequestID = errors.New("routing: the response carries the ID of another request; the connection was closed")

// lastRequestID is the last request ID used. IDs are unique within this process.
var lastRequestID atomic.Uint64

// response is an upstream's response. When rest is nil, body is the complete
// body; otherwise rest reads the remainder of it.
type response struct {
	status          int
	header          http.Header
	length          int64 // of the body in bytes; -1: unknown (chunked)
	body            []byte
	rest            io.Reader
	connectionClose bool // the response carried Connection: close
}

// refusal reports whether the upstream states that it did not execute the
// request, and returns the reason that it gives.
func (resp *response) refusal() (string, bool) {
	notRun := resp.status == http.StatusServiceUnavailable && resp.header.Get(HeaderOutcome) == string(NotRun)
	return resp.header.Get(HeaderReason), notRun
}

// exchange is the HTTP exchange of one attempt: the request to one upstream and
// its response.
type exchange struct {
	pool     *pool
	conn     *conn
	sent     bool // a byte of the request may have reached the upstream
	idEchoed bool // the response carried the request's ID, so it belongs to that request
	response *response
	err      error
}

// sendOnce sends a call to one upstream and reads the response. It never sends
// the call twice, not even when a reused connection turns out to be closed. The
// caller must call release on the exchange.
func (r *Router) sendOnce(ctx context.Context, c *call, d Dispatch) *exchange {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "routing.attempt")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", d.Upstream.Name))
	x := &exchange{pool: r.poolFor(d.Upstream)}
	deadline := c.deadline
	if attemptDeadline := r.opts.Now().Add(d.AttemptTimeout); c.idempotent && attemptDeadline.Before(deadline) {
		deadline = attemptDeadline
	}
	req, err := c.upstreamRequest(ctx, d.Upstream.Address)
	if err != nil {
		x.err = err
		return x
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	x.err = x.roundTrip(ctx, req, r.maxIdleTimeFor(c), r.connectionLimit(d.Upstream), deadline)
	if x.err != nil {
		span.RecordError(x.err)
	}
	return x
}

// maxIdleTimeFor returns the maximum time since the last complete response on a
// connection that is reused for the call. A request that is not idempotent is
// sent only on a connection that was recently proved alive, or on a new one.
func (r *Router) maxIdleTimeFor(c *call) time.Duration {
	if c.idempotent {
		return maxIdleTime
	}
	return maxIdleTimeNonIdempotent
}

// roundTrip sends the request on an idle or new connection and reads the
// response.
func (x *exchange) roundTrip(ctx context.Context, req *http.Request, maxIdle time.Duration, connectionLimit int, deadline time.Time) error {
	if err := x.connect(ctx, req.URL.Host, maxIdle, connectionLimit, deadline); err != nil {
		return err
	}
	id := strconv.FormatUint(lastRequestID.Add(1), 36)
	req.Header.Set(HeaderRequestID, id)
	resp, err := x.conn.roundTrip(req, deadline)
	x.sent = x.conn.sent
	if err != nil {
		return err
	}
	if err := x.checkRequestID(resp, id); err != nil {
		return err
	}
	return x.readResponse(resp)
}

// checkRequestID compares the request ID in the response with the one sent.
// Connections to an upstream that echoes no ID are not reused: on a reused one, a
// late duplicate response to an earlier request could not be told from the
// response to this one.
func (x *exchange) checkRequestID(resp *http.Response, id string) error {
	echoedID := resp.Header.Get(HeaderRequestID)
	resp.Header.Del(HeaderRequestID)
	x.idEchoed = echoedID == id
	if echoedID != "" && !x.idEchoed {
		return errWrongRequestID
	}
	return nil
}

// connect takes an idle connection or dials a new one. The dial goes on when the
// caller disconnects.
func (x *exchange) connect(ctx context.Context, address string, maxIdle time.Duration, connectionLimit int, deadline time.Time) error {
	x.conn = x.pool.takeIdle(time.Now(), maxIdle)
	if x.conn != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	x.pool.reserve(connectionLimit)
	c, err := dial(ctx, address)
	if err != nil {
		x.pool.discard(nil)
		return err
	}
	x.conn = c
	return nil
}

// readResponse reads the complete response, or up to maxBufferedBytes of its
// body when it is large.
func (x *exchange) readResponse(resp *http.Response) error {
	hasLength := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
	if !hasLength && resp.Request.Method != http.MethodHead {
		return errNoBodyLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return err
	}
	out := &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, body: body, connectionClose: resp.Close}
	if len(body) == maxBufferedBytes {
		out.rest = resp.Body
	}
	x.response = out
	return nil
}

// release returns the connection to the pool when it can be reused: its response
// was read completely, carried the request's ID, and nothing followed it.
// Otherwise it closes the connection.
func (x *exchange) release(complete bool) {
	c := x.conn
	if c == nil {
		return
	}
	x.conn = nil
	if !complete || !x.idEchoed || x.err != nil || c.notReusable || x.response.connectionClose || c.reader.Buffered() > 0 {
		x.pool.discard(c)
		return
	}
	c.lastResponse = time.Now()
	x.pool.putIdle(c)
}

// report classifies the attempt for the dispatcher. It leaves TicketID unset.
// Connection: close of an upstream that is full is not reported, as the dispatcher
// would treat the upstream as leaving.
func (x *exchange) report() AttemptReport {
	if x.response == nil {
		return AttemptReport{Result: Failed}
	}
	rep := AttemptReport{Result: Responded, ConnectionClose: x.response.connectionClose}
	reason, refused := x.response.refusal()
	switch {
	case refused && reason == "full":
		rep.Result, rep.ConnectionClose = Full, false
	case refused:
		rep.Result = Leaving
	case x.response.status >= http.StatusInternalServerError:
		rep.Result = ServerError
	}
	return rep
}

// probeUpstream sends OPTIONS * on a new connection. alive reports whether the
// upstream sent any HTTP response; closing, whether it closes the connection or
// responded 503.
func (r *Router) probeUpstream(ctx context.Context, upstream kvstore.Host) (alive, closing bool) {
	deadline := time.Now().Add(dialTimeout)
	c, err := dial(ctx, upstream.Address)
	if err != nil {
		return false, false
	}
	defer c.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+upstream.Address, http.NoBody)
	if err != nil {
		return false, false
	}
	req.URL.Opaque = "*"
	resp, err := c.roundTrip(req, deadline)
	if err != nil {
		return false, false
	}
	closing = resp.Close || resp.StatusCode == http.StatusServiceUnavailable
	return true, closing
}
