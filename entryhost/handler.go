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

// handler returns the handler of the host's whole HTTP API.
func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathHealth, h.serveHealth)
	mux.HandleFunc("GET "+pathReady, h.serveReady)
	mux.HandleFunc("GET "+pathMetrics, h.serveMetrics)
	h.registerOperatorAPI(mux)
	h.components.router.Register(mux)
	h.components.intake.Register(mux)
	authenticated := h.components.auth.Middleware(mux)
	return telemetry.Middleware(h.opts.Settings.Host.Name, h.opts.Metrics, h.opts.Now, authenticated)
}

func (h *Host) serveHealth(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, map[string]bool{"live": true})
}

// serveReady serves the readiness probe of the load balancer.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, map[string]bool{"ready": true})
}

// Ready returns nil if the host can take work: it is not draining and has a
// configuration and a host list. The error is an *apierr.Error.
func (h *Host) Ready() error {
	snap, _ := h.components.config.Current()
	switch {
	case !h.ready.Load():
		return apierr.New(apierr.Unavailable, "the host is draining", "use another entry host")
	case snap.Revision == 0:
		return apierr.New(apierr.Unavailable, "the host has no configuration yet", "wait until it reaches the platform or a peer")
	case !h.components.membership.HasHostList():
		return apierr.New(apierr.Unavailable, "the host has no host list yet", "wait until it reaches the platform or a peer")
	}
	return nil
}

func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	h.opts.Metrics.WritePrometheus(w)
}
