package routing

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/claims"
)

const (
	// headerReplayed marks a response that was recorded for an earlier request.
	headerReplayed = "Cyclamentray-Replayed"
	// headerIncarnation carries the prefix of keys that are bound to this entry host.
	headerIncarnation = "Cyclamentray-Incarnation"

	callerProgressTimeout = 30 * time.Second // for the caller to accept each part of a streamed response
	copyBufferBytes       = 32 << 10
)

// serveRequest handles a caller's request to a service.
func (r *Router) serveRequest(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	began := r.opts.Now()
	r.setCommonHeaders(w)
	id, service, err := r.authorise(req)
	if err != nil {
		writeError(w, NotRun, err)
		return
	}
	reserved, ok := r.reserveBody(req)
	if !ok {
		writeError(w, NotRun, errShed(QueueFull))
		return
	}
	defer r.bodyBytes.Add(-reserved)
	c, err := readCall(req, id.Organisation, service, began)
	if err != nil {
		writeError(w, NotRun, err)
		return
	}
	ctx, span := otel.Tracer(tracerName).Start(req.Context(), "routing.request")
	defer span.End()
	span.SetAttributes(attribute.String("service", service.Name), attribute.String("method", c.method))
	s := r.dispatcherFor(service.Name)
	var res callResult
	if c.idempotencyKey != "" && !c.idempotent {
		res = r.executeKeyed(ctx, s, c)
	} else {
		res = r.execute(ctx, s, c)
	}
	span.SetAttributes(attribute.String("outcome", string(res.outcome)))
	r.metrics.count(service.Name, id.Organisation, res.outcome)
	r.metrics.duration.Update(r.opts.Now().Sub(began).Seconds())
	writeResult(w, res)
}

// setCommonHeaders sets the headers that every response to a caller carries.
func (r *Router) setCommonHeaders(w http.ResponseWriter) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.opts.Claims != nil {
		w.Header().Set(headerIncarnation, r.opts.Claims.Incarnation())
	}
}

// writeResult writes a result to the caller. It aborts the caller's connection
// when a streamed response is truncated.
func writeResult(w http.ResponseWriter, res callResult) {
	if res.response == nil {
		writeError(w, res.outcome, res.err)
		return
	}
	resp := res.response
	replayed := resp.header.Get(headerReplayed)
	for name, values := range endToEndHeader(resp.header) {
		w.Header()[name] = values
	}
	if replayed != "" {
		w.Header().Set(headerReplayed, replayed)
	}
	if resp.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	w.Header().Set(HeaderOutcome, string(res.outcome))
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.body)
	if resp.rest == nil {
		// Flushed before the handler returns, since Drain does not wait for the request
		// after that.
		_ = http.NewResponseController(w).Flush()
		return
	}
	complete := err == nil && copyRest(w, resp.rest)
	res.finish(complete)
	if !complete {
		// Aborts the connection so that the caller detects the truncation.
		panic(http.ErrAbortHandler)
	}
}

// copyRest streams the remainder of a large response to the caller; it reports
// whether all of it was copied. It stops when the caller accepts no data for
// callerProgressTimeout.
func copyRest(w http.ResponseWriter, rest io.Reader) bool {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, readErr := rest.Read(buf)
		_ = rc.SetWriteDeadline(time.Now().Add(callerProgressTimeout))
		if _, err := w.Write(buf[:n]); err != nil {
			return false
		}
		if readErr == io.EOF {
			_ = rc.SetWriteDeadline(time.Time{})
			return true
		}
		if readErr != nil {
			return false
		}
	}
}

// OutcomeReply is the response to a look-up of an idempotency key.
type OutcomeReply struct {
	Key     string  `json:"key"`
	State   string  `json:"state"` // absent, running, done or unknown
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"` // of the response, when done
}

// serveOutcome handles a look-up of an idempotency key. Keys of a retired service
// can still be looked up.
func (r *Router) serveOutcome(w http.ResponseWriter, req *http.Request) {
	r.setCommonHeaders(w)
	id, service, err := r.authorise(req)
	if err != nil && err.Kind != apierr.Retired {
		writeError(w, NotRun, err)
		return
	}
	if r.opts.Claims == nil {
		writeError(w, Unknown, claims.ErrUnavailable)
		return
	}
	key := claims.Key{Organisation: id.Organisation, Service: service.Name, Key: req.PathValue("key")}
	reply, lookupErr := r.opts.Claims.Outcome(req.Context(), key)
	if lookupErr != nil {
		writeError(w, Unknown, apierr.From(lookupErr))
		return
	}
	writeOutcome(w, key.Key, reply)
}

func writeOutcome(w http.ResponseWriter, key string, reply claims.Reply) {
	out := OutcomeReply{Key: key}
	switch reply.Verdict {
	case claims.Absent:
		// The claim of an attempt may still be on its way to the key's owner, so the
		// outcome is not "not run".
		out.State, out.Outcome = "absent", Unknown
	case claims.Done:
		out.State, out.Outcome, out.Status = "done", Ran, reply.Answer.Status
	case claims.Running:
		out.State, out.Outcome = "running", Unknown
	default:
		out.State, out.Outcome = "unknown", Unknown
	}
	w.Header().Set(HeaderOutcome, string(out.Outcome))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func writeError(w http.ResponseWriter, outcome Outcome, err *apierr.Error) {
	w.Header().Set(HeaderOutcome, string(outcome))
	w.Header().Set("Content-Type", "application/json")
	if err.Kind == apierr.Overloaded || err.Kind == apierr.Unavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(err.Status())
	_ = json.NewEncoder(w).Encode(map[string]*apierr.Error{"error": err})
}
