package gang

import "github.com/VictoriaMetrics/metrics"

type meters struct {
	cycle   *metrics.Histogram
	placed  *metrics.Counter
	whole   *metrics.Counter
	adopted *metrics.Counter
	broken  *metrics.Counter
	refused *metrics.Counter
}

func newMeters(set *metrics.Set) meters {
	return meters{
		cycle:   set.GetOrCreateHistogram("cyclamentray_gang_cycle_seconds"),
		placed:  set.GetOrCreateCounter("cyclamentray_gang_placed_total"),
		whole:   set.GetOrCreateCounter("cyclamentray_gang_started_total"),
		adopted: set.GetOrCreateCounter("cyclamentray_gang_adopted_total"),
		broken:  set.GetOrCreateCounter("cyclamentray_gang_broken_total"),
		refused: set.GetOrCreateCounter("cyclamentray_gang_permits_refused_total"),
	}
}
