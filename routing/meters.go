package routing

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the router's metrics.
type meters struct {
	set      *metrics.Set
	retries  *metrics.Counter
	duration *metrics.Histogram
}

func newMeters(set *metrics.Set, r *Router) *meters {
	set.GetOrCreateGauge("cyclamentray_routing_in_flight", func() float64 { return float64(r.inFlight.Load()) })
	set.GetOrCreateGauge("cyclamentray_routing_waiting", func() float64 {
		n := 0
		for _, s := range r.allServices() {
			n += s.waiting()
		}
		return float64(n)
	})
	return &meters{
		set:      set,
		retries:  set.GetOrCreateCounter("cyclamentray_routing_retries_total"),
		duration: set.GetOrCreateHistogram("cyclamentray_routing_request_seconds"),
	}
}

// count counts one answer to a caller.
func (m *meters) count(service, organisation string, outcome Outcome) {
	name := fmt.Sprintf("cyclamentray_routing_requests_total{service=%q,organisation=%q,outcome=%q}", service, organisation, outcome)
	m.set.GetOrCreateCounter(name).Inc()
}
