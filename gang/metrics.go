package gang

import "github.com/VictoriaMetrics/metrics"

// schedulerMetrics are the metrics of a Scheduler.
type schedulerMetrics struct {
	cycleSeconds   *metrics.Histogram
	gangsPlaced    *metrics.Counter
	gangsStarted   *metrics.Counter
	gangsAdopted   *metrics.Counter
	gangsBroken    *metrics.Counter // runs that ended in a failure or back in the queue
	permitsRefused *metrics.Counter
}

func newSchedulerMetrics(set *metrics.Set) schedulerMetrics {
	return schedulerMetrics{
		cycleSeconds:   set.GetOrCreateHistogram("cyclamentray_gang_cycle_seconds"),
		gangsPlaced:    set.GetOrCreateCounter("cyclamentray_gang_placed_total"),
		gangsStarted:   set.GetOrCreateCounter("cyclamentray_gang_started_total"),
		gangsAdopted:   set.GetOrCreateCounter("cyclamentray_gang_adopted_total"),
		gangsBroken:    set.GetOrCreateCounter("cyclamentray_gang_broken_total"),
		permitsRefused: set.GetOrCreateCounter("cyclamentray_gang_permits_refused_total"),
	}
}
