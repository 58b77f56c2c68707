package routing

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// routerMetrics are the router's metrics.
type routerMetrics struct {
	set      *metrics.Set
	retries  *metrics.Counter
	duration *metrics.Histogram
}

func newRouterMetrics(set *metrics.Set, r *Router) *routerMetrics {
	set.GetOrCreateGauge("cyclamentray_routing_in_flight", func() float64 { return float64(r.inFlight.Load()) })
	set.GetOrCreateGauge("cyclamentray_routing_waiting", func() float64 {
		n := 0
		for _, s := range r.allDispatchers() {
			n += s.queueLength()
		}
		return float64(n)
	})
	return &routerMetrics{
		set:      set,
		retries:  set.GetOrCreateCounter("cyclamentray_routing_retries_total"),
		duration: set.GetOrCreateHistogram("cyclamentray_routing_request_seconds"),
	}
}

// count counts one response to a caller.
func (m *routerMetrics) count(service, organisation string, outcome Outcome) {
	name := fmt.Sprintf("cyclamentray_routing_requests_total{service=%q,organisation=%q,outcome=%q}", service, organisation, outcome)
	m.set.GetOrCreateCounter(name).Inc()
}
