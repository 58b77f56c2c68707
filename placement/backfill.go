package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Reservations for jobs that do not fit now.
const (
	maxReservations = 1
	stopGrace       = time.Minute // time in which a stopping gang is expected to end
)

// reservation keeps a place for a blocked job from a time on.
type reservation struct {
	from  time.Time
	place []int
	shape job.Shape
}

// backfill starts jobs so that none that runs on into a reservation takes its
// accelerators.
type backfill struct {
	d            *decision
	reservations []reservation // by time
	levels       []*level      // what is free beside the first n reservations
	endings      []ending      // running gangs by expected end
	shortages    map[job.Shape]string
}

// level is what is free for jobs that respect some of the reservations.
type level struct {
	free   *topology.Capacity
	failed map[job.Shape]bool // shapes that are known not to fit
}

// ending is when a running gang is expected to free its accelerators.
type ending struct {
	at   time.Time
	gang int
}

// startRest starts jobs in order where they fit, and reserves places for the
// first ones that do not.
func (d *decision) startRest(queue []*WaitingJob) {
	b := &backfill{d: d, shortages: map[job.Shape]string{}}
	b.rebuild()
	for _, w := range queue {
		if d.overQuota(w) {
			d.holdForQuota(w)
			continue
		}
		b.serve(w)
	}
	d.left = b.levels[len(b.levels)-1].free
}

func (b *backfill) serve(w *WaitingJob) {
	avoid := b.d.avoid(w)
	if b.fit(0, w, avoid) == nil {
		b.block(w, avoid)
		return
	}
	n := b.respected(w)
	place := b.fit(n, w, avoid)
	if place == nil {
		b.d.hold(w, reservedByOthersReason(w.Shape))
		return
	}
	b.d.start(w, place, false)
	for _, l := range b.levels[1:] {
		l.free.AllocateAll(place, w.Shape.AcceleratorsPerTask)
	}
}

// fit finds a place beside the first n reservations.
func (b *backfill) fit(n int, w *WaitingJob, avoid topology.AvoidFunc) []int {
	l := b.levels[n]
	if l.failed[w.Shape] {
		return nil
	}
	place := l.free.Fit(w.Shape, avoid)
	if place == nil && avoid == nil {
		l.failed[w.Shape] = true
	}
	return place
}

// respected returns how many reservations begin before the job would end.
func (b *backfill) respected(w *WaitingJob) int {
	if len(b.reservations) == 0 {
		return 0
	}
	run := b.d.predicts.backfill(w)
	end := b.d.v.Now.Add(run)
	return sort.Search(len(b.reservations), func(i int) bool { return !b.reservations[i].from.Before(end) })
}

// block holds a job, and reserves a place for it if there are few reservations.
func (b *backfill) block(w *WaitingJob, avoid topology.AvoidFunc) {
	if len(b.reservations) >= maxReservations {
		b.d.hold(w, b.shortage(w.Shape))
		return
	}
	r, ok := b.reserve(w, avoid)
	if !ok {
		b.d.hold(w, b.shortage(w.Shape))
		return
	}
	if place, ok := b.displace(w, r, avoid); ok {
		r.from = b.d.v.Now.Add(stopGrace)
		r.place = place
	}
	b.d.hold(w, reservedReason(w.Shape, r.from))
	b.reservations = append(b.reservations, r)
	slices.SortStableFunc(b.reservations, func(x, y reservation) int { return x.from.Compare(y.from) })
	b.rebuild()
}

func (b *backfill) shortage(s job.Shape) string {
	r, ok := b.shortages[s]
	if !ok {
		r = shortageReason(s)
		b.shortages[s] = r
	}
	return r
}

// reserve finds the earliest time at which the job is expected to fit, and
// where. The time is the end of the last gang that must end before.
func (b *backfill) reserve(w *WaitingJob, avoid topology.AvoidFunc) (reservation, bool) {
	if b.endings == nil {
		b.endings = b.d.expectedEnds()
	}
	least := sort.Search(len(b.endings), func(n int) bool {
		return b.freeAfter(n+1).Fit(w.Shape, avoid) != nil
	})
	if least == len(b.endings) {
		return reservation{}, false
	}
	place := b.freeAfter(least+1).Fit(w.Shape, avoid)
	return reservation{from: b.endings[least].at, place: place, shape: w.Shape}, true
}

// freeAfter returns what is free beside all reservations once the first n
// gangs have ended.
func (b *backfill) freeAfter(n int) *topology.Capacity {
	k := b.levels[len(b.levels)-1].free.Clone()
	for _, e := range b.endings[:n] {
		k.ReleaseAll(b.d.places[e.gang], b.d.v.Running[e.gang].Shape.AcceleratorsPerTask)
	}
	return k
}

// rebuild makes the levels anew for the present reservations.
func (b *backfill) rebuild() {
	b.levels = []*level{{free: b.d.free, failed: map[job.Shape]bool{}}}
	for i, r := range b.reservations {
		k := b.levels[i].free.Clone()
		k.AllocateAll(r.place, r.shape.AcceleratorsPerTask)
		b.levels = append(b.levels, &level{free: k, failed: map[job.Shape]bool{}})
	}
}

// expectedEnds returns when running gangs are expected to end, soonest first.
func (d *decision) expectedEnds() []ending {
	out := make([]ending, len(d.v.Running))
	for i := range d.v.Running {
		out[i] = ending{at: d.expectedEnd(&d.v.Running[i]), gang: i}
	}
	slices.SortFunc(out, func(x, y ending) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.gang, y.gang))
	})
	return out
}

func (d *decision) expectedEnd(g *Gang) time.Time {
	if g.Stopping {
		return d.v.Now.Add(stopGrace)
	}
	ran := max(0, d.v.Now.Sub(g.Started))
	return g.Started.Add(d.predicts.whole(g, ran))
}
