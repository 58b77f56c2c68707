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
	// headerReplayed marks an answer that was recorded for an earlier request.
	headerReplayed = "Cyclamentray-Replayed"
	// headerIncarnation tells the prefix of keys bound to this entry host.
	headerIncarnation = "Cyclamentray-Incarnation"

	callerProgressTimeout = 30 * time.Second // without taking a byte of its answer
	copyBufferBytes       = 32 << 10
)

func (r *Router) serveRequest(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	began := r.opts.Now()
	r.setCommonHeaders(w)
	id, config, err := r.authorise(req)
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
	c, err := readCall(req, id.Organisation, config, began)
	if err != nil {
		writeError(w, NotRun, err)
		return
	}
	ctx, span := otel.Tracer(tracerName).Start(req.Context(), "routing.request")
	defer span.End()
	span.SetAttributes(attribute.String("service", config.Name), attribute.String("method", c.method))
	s := r.serviceFor(config.Name)
	var res callResult
	if c.idempotencyKey != "" && !c.idempotent {
		res = r.executeKeyed(ctx, s, c)
	} else {
		res = r.execute(ctx, s, c)
	}
	span.SetAttributes(attribute.String("outcome", string(res.outcome)))
	r.metrics.count(config.Name, id.Organisation, res.outcome)
	r.metrics.duration.Update(r.opts.Now().Sub(began).Seconds())
	writeResult(w, res)
}

// setCommonHeaders sets what every answer carries.
func (r *Router) setCommonHeaders(w http.ResponseWriter) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.opts.Claims != nil {
		w.Header().Set(headerIncarnation, r.opts.Claims.Incarnation())
	}
}

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
		// Drain counts a request as answered once its bytes have left.
		_ = http.NewResponseController(w).Flush()
		return
	}
	complete := err == nil && copyRest(w, resp.rest)
	res.finish(complete)
	if !complete {
		// The caller must see that the answer is cut.
		panic(http.ErrAbortHandler)
	}
}

// copyRest passes on the rest of a large answer; it reports whether all of it
// arrived. A caller that takes nothing for long is cut off.
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

// OutcomeReply answers a look-up of an idempotency key.
type OutcomeReply struct {
	Key     string  `json:"key"`
	State   string  `json:"state"` // absent, running, done or unknown
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"` // of the answer, when done
}

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
		// An attempt may be on its way to the key's owner, so this is not "not run".
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
