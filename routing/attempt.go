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

	// maxBufferedBytes is the largest answer that is read whole before the caller
	// gets its first byte. Larger ones are passed on as they arrive, and the
	// caller's connection is aborted when they do not arrive whole.
	maxBufferedBytes = 256 << 10
)

var errNoBodyLength = errors.New("routing: the answer has no length, so a cut could not be told from its end; have the upstream send Content-Length or chunks")

var errWrongRequestID = errors.New("routing: the answer names another request; the connection was closed")

// lastRequestID makes the names of requests unique on every connection of this process.
var lastRequestID atomic.Uint64

// response is an upstream's response. When rest is nil, body is the whole of it.
type response struct {
	status          int
	header          http.Header
	length          int64 // bytes of the body; -1: sent in chunks
	body            []byte
	rest            io.Reader
	connectionClose bool // the upstream said Connection: close
}

// refusal returns the reason when the upstream states that it did not execute
// the request, and whether it does.
func (resp *response) refusal() (string, bool) {
	notRun := resp.status == http.StatusServiceUnavailable && resp.header.Get(HeaderOutcome) == string(NotRun)
	return resp.header.Get(HeaderReason), notRun
}

// exchange is one attempt at one upstream.
type exchange struct {
	pool     *pool
	conn     *conn
	sent     bool // a byte of the request may have reached the upstream
	idEchoed bool // the answer named the request, so it can't be another's
	response *response
	err      error
}

// sendOnce sends a call to one upstream and reads its answer. It never sends
// twice: not even when a kept connection turns out to be closed. The exchange
// must be ended with done.
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
	x.err = x.roundTrip(ctx, req, r.maxConnectionAge(c), r.connectionLimit(d.Upstream), deadline)
	if x.err != nil {
		span.RecordError(x.err)
	}
	return x
}

// maxConnectionAge is the longest time since a connection's last whole answer. A
// request that must not be sent twice goes only on a connection just proved
// alive, or on a fresh one.
func (r *Router) maxConnectionAge(c *call) time.Duration {
	if c.idempotent {
		return maxIdleAge
	}
	return freshConnectionAge
}

func (x *exchange) roundTrip(ctx context.Context, req *http.Request, maxAge time.Duration, connectionLimit int, deadline time.Time) error {
	if err := x.connect(ctx, req.URL.Host, maxAge, connectionLimit, deadline); err != nil {
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

// checkRequestID compares the request that the answer names with the one just sent.
// An upstream that names none gets a fresh connection for each request: on a
// reused one, a late second answer to an earlier request looks like this one's.
func (x *exchange) checkRequestID(resp *http.Response, id string) error {
	echoedID := resp.Header.Get(HeaderRequestID)
	resp.Header.Del(HeaderRequestID)
	x.idEchoed = echoedID == id
	if echoedID != "" && !x.idEchoed {
		return errWrongRequestID
	}
	return nil
}

func (x *exchange) connect(ctx context.Context, address string, maxAge time.Duration, connectionLimit int, deadline time.Time) error {
	x.conn = x.pool.takeIdle(time.Now(), maxAge)
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

// readResponse takes the answer whole, or its first part when it is large.
func (x *exchange) readResponse(resp *http.Response) error {
	hasLength := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
	if !hasLength && resp.Request.Method != http.MethodHead {
		return errNoBodyLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return err
	}
	a := &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, body: body, connectionClose: resp.Close}
	if len(body) == maxBufferedBytes {
		a.rest = resp.Body
	}
	x.response = a
	return nil
}

// release keeps the connection for reuse when its answer was read to the end and
// nothing else came, and closes it otherwise.
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

// report classifies the attempt for the choice of runners.
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

// probeUpstream tells whether an upstream answers HTTP at all, on a fresh connection.
func (r *Router) probeUpstream(ctx context.Context, host kvstore.Host) (alive, closing bool) {
	deadline := time.Now().Add(dialTimeout)
	c, err := dial(ctx, host.Address)
	if err != nil {
		return false, false
	}
	defer c.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+host.Address, http.NoBody)
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
