package entryhost

import (
	"net/http"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

const (
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// handler builds the whole HTTP interface of the host.
func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathHealth, h.serveHealth)
	mux.HandleFunc("GET "+pathReady, h.serveReady)
	mux.HandleFunc("GET "+pathMetrics, h.serveMetrics)
	h.registerOperators(mux)
	h.slices.router.Register(mux)
	authenticated := h.slices.auth.Middleware(mux)
	return telemetry.Middleware(h.opts.Settings.Host.Name, h.opts.Metrics, h.opts.Now, authenticated)
}

func (h *Host) serveHealth(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, map[string]bool{"live": true})
}

// serveReady tells the balancer whether to send work here: the host must know
// a configuration and must not be draining.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	snap, _ := h.slices.config.Current()
	switch {
	case !h.ready.Load():
		httpjson.WriteError(w, apierr.New(apierr.Unavailable, "the host is draining", "use another entry host"))
	case snap.Revision == 0:
		httpjson.WriteError(w, apierr.New(apierr.Unavailable, "the host has no configuration yet", "wait until it reaches the platform or a peer"))
	default:
		httpjson.Write(w, http.StatusOK, map[string]bool{"ready": true})
	}
}

func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	h.opts.Metrics.WritePrometheus(w)
}
