package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Parameters of reservations for jobs that do not fit now.
const (
	maxReservations  = 1
	expectedStopTime = time.Minute // time within which a stopping gang is expected to end
)

// reservation keeps a placement for a blocked job from a time on.
type reservation struct {
	from      time.Time
	placement []int
	shape     job.Shape
}

// backfill starts jobs around the reservations: a job that would still run when a
// reservation begins gets none of its accelerators.
type backfill struct {
	d               *decision
	reservations    []reservation        // sorted by time
	levels          []*level             // levels[n]: what is free beside the first n reservations
	gangEnds        []gangEnd            // running gangs by expected end; nil until first needed
	shortageReasons map[job.Shape]string // hold reasons by shape
}

// level is the capacity that is free beside some of the reservations: free
// accelerators that these reservations do not use.
type level struct {
	free       *topology.Capacity
	doesNotFit map[job.Shape]bool // shapes that are known not to fit
}

// gangEnd is the time at which a running gang is expected to free its accelerators.
type gangEnd struct {
	at   time.Time
	gang int
}

// startWithBackfill starts jobs in order where they fit, and makes reservations for
// the first ones that do not.
func (d *decision) startWithBackfill(queue []*WaitingJob) {
	b := &backfill{d: d, shortageReasons: map[job.Shape]string{}}
	b.rebuildLevels()
	for _, w := range queue {
		if d.overQuota(w) {
			d.holdForQuota(w)
			continue
		}
		b.serveJob(w)
	}
	d.remaining = b.levels[len(b.levels)-1].free
}

// serveJob starts or holds a job.
func (b *backfill) serveJob(w *WaitingJob) {
	avoid := b.d.avoidFunc(w)
	if b.fitBeside(0, w, avoid) == nil {
		b.holdBlocked(w, avoid)
		return
	}
	n := b.reservationsWithin(w)
	placement := b.fitBeside(n, w, avoid)
	if placement == nil {
		b.d.holdJob(w, reservedByOthersReason(w.Shape))
		return
	}
	b.d.startJob(w, placement, false)
	for _, l := range b.levels[1:] {
		l.free.AllocateAll(placement, w.Shape.AcceleratorsPerTask)
	}
}

// fitBeside finds a placement beside the first n reservations.
func (b *backfill) fitBeside(n int, w *WaitingJob, avoid topology.AvoidFunc) []int {
	l := b.levels[n]
	if l.doesNotFit[w.Shape] {
		return nil
	}
	placement := l.free.Fit(w.Shape, avoid)
	if placement == nil && avoid == nil {
		l.doesNotFit[w.Shape] = true
	}
	return placement
}

// reservationsWithin returns how many reservations begin before the job is expected
// to end.
func (b *backfill) reservationsWithin(w *WaitingJob) int {
	if len(b.reservations) == 0 {
		return 0
	}
	run := b.d.predictor.backfillRun(w)
	end := b.d.v.Now.Add(run)
	return sort.Search(len(b.reservations), func(i int) bool { return !b.reservations[i].from.Before(end) })
}

// holdBlocked holds a job that does not fit, and makes a reservation for it if there
// are fewer than maxReservations.
func (b *backfill) holdBlocked(w *WaitingJob, avoid topology.AvoidFunc) {
	if len(b.reservations) >= maxReservations {
		b.d.holdJob(w, b.cachedShortageReason(w.Shape))
		return
	}
	r, ok := b.reserve(w, avoid)
	if !ok {
		b.d.holdJob(w, b.cachedShortageReason(w.Shape))
		return
	}
	if placement, ok := b.displace(w, r, avoid); ok {
		r.from = b.d.v.Now.Add(expectedStopTime)
		r.placement = placement
	}
	b.d.holdJob(w, reservedReason(w.Shape, r.from))
	b.reservations = append(b.reservations, r)
	slices.SortStableFunc(b.reservations, func(x, y reservation) int { return x.from.Compare(y.from) })
	b.rebuildLevels()
}

func (b *backfill) cachedShortageReason(s job.Shape) string {
	r, ok := b.shortageReasons[s]
	if !ok {
		r = shortageReason(s)
		b.shortageReasons[s] = r
	}
	return r
}

// reserve finds the earliest time at which the job is expected to fit, and its
// placement. The job fits once enough of gangEnds have ended; the time is the
// expected end of the last of these.
func (b *backfill) reserve(w *WaitingJob, avoid topology.AvoidFunc) (reservation, bool) {
	if b.gangEnds == nil {
		b.gangEnds = b.d.expectedEnds()
	}
	last := sort.Search(len(b.gangEnds), func(n int) bool {
		return b.freeAfter(n+1).Fit(w.Shape, avoid) != nil
	})
	if last == len(b.gangEnds) {
		return reservation{}, false
	}
	placement := b.freeAfter(last+1).Fit(w.Shape, avoid)
	return reservation{from: b.gangEnds[last].at, placement: placement, shape: w.Shape}, true
}

// freeAfter returns what is free beside all reservations once the first n gangs of
// gangEnds have ended.
func (b *backfill) freeAfter(n int) *topology.Capacity {
	k := b.levels[len(b.levels)-1].free.Clone()
	for _, e := range b.gangEnds[:n] {
		k.ReleaseAll(b.d.placements[e.gang], b.d.v.Running[e.gang].Shape.AcceleratorsPerTask)
	}
	return k
}

// rebuildLevels computes the levels for the present reservations.
func (b *backfill) rebuildLevels() {
	b.levels = []*level{{free: b.d.free, doesNotFit: map[job.Shape]bool{}}}
	for i, r := range b.reservations {
		k := b.levels[i].free.Clone()
		k.AllocateAll(r.placement, r.shape.AcceleratorsPerTask)
		b.levels = append(b.levels, &level{free: k, doesNotFit: map[job.Shape]bool{}})
	}
}

// expectedEnds returns when running gangs are expected to end, soonest first.
func (d *decision) expectedEnds() []gangEnd {
	out := make([]gangEnd, len(d.v.Running))
	for i := range d.v.Running {
		out[i] = gangEnd{at: d.expectedEnd(&d.v.Running[i]), gang: i}
	}
	slices.SortFunc(out, func(x, y gangEnd) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.gang, y.gang))
	})
	return out
}

func (d *decision) expectedEnd(g *Gang) time.Time {
	if g.Stopping {
		return d.v.Now.Add(expectedStopTime)
	}
	ran := max(0, d.v.Now.Sub(g.Started))
	return g.Started.Add(d.predictor.totalRun(g, ran))
}
