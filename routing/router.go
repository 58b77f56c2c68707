// Package routing carries short requests from callers to the upstreams of a
// service. Its core decides which upstream takes which request, and when a
// request waits or is refused; a thin driver does the I/O.
package routing

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/membership"
)

// Options are what a Router needs.
type Options struct {
	Now        func() time.Time // nil: time.Now
	Logger     *log.Logger
	Metrics    *metrics.Set // nil: none are kept
	Membership membership.Source
	Config     config.Source
}

// Router serves callers' requests. It is safe for concurrent use.
type Router struct {
	opts Options
}

// New returns a router.
func New(o Options) *Router {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Router{opts: o}
}

// Register adds the router's calls to mux.
func (r *Router) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/services/{service}/requests/{path...}", r.serve)
}

// Run does the router's background work until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain waits until every request in flight has been answered. It cuts off
// nothing; it returns ctx's error when ctx ends first.
func (r *Router) Drain(ctx context.Context) error { return nil }

func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	service, err := r.authorise(req)
	if err != nil {
		writeError(w, NotRun, err)
		return
	}
	hosts := r.opts.Membership.View().Upstreams(service.Name)
	if len(hosts) == 0 {
		writeError(w, NotRun, apierr.New(apierr.Unavailable, "no upstream of the service is known", "retry later"))
		return
	}
	target := "http://" + hosts[0].Address + "/" + req.PathValue("path")
	out, _ := http.NewRequestWithContext(req.Context(), req.Method, target, req.Body)
	resp, doErr := http.DefaultTransport.RoundTrip(out)
	if doErr != nil {
		writeError(w, Unknown, apierr.New(apierr.OutcomeUnknown, "the upstream's answer was lost", "check whether the request ran"))
		return
	}
	defer resp.Body.Close()
	w.Header().Set(HeaderOutcome, string(Ran))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

func writeError(w http.ResponseWriter, outcome Outcome, err *apierr.Error) {
	w.Header().Set(HeaderOutcome, string(outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.Status())
	_ = json.NewEncoder(w).Encode(map[string]*apierr.Error{"error": err})
}
