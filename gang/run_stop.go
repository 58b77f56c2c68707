package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

func (r *Run) onOrder(now time.Time, e StopRequest) []Action {
	switch r.Phase {
	case Running:
		r.order = e
		r.enter(RecordingStop, now)
		r.next = now.Add(callPatience)
		return []Action{r.record(job.Stopping, e.Reason)}
	case Reserving, Starting:
		r.order = e
		return r.stop(now)
	case RecordingStop, Checkpointing, Stopping:
		r.strengthen(e)
	}
	return nil
}

// strengthen lets a later order end a job that would have run again.
func (r *Run) strengthen(e StopRequest) {
	if r.order.NextState == job.Queued && e.NextState.Terminal() {
		r.order.NextState, r.order.Reason = e.NextState, e.Reason
	}
}

func (r *Run) save(now time.Time) []Action {
	if r.order.Grace <= 0 {
		return r.stop(now)
	}
	r.enter(Checkpointing, now)
	var out []Action
	for _, m := range r.members {
		out = append(out, Checkpoint{Worker: m.worker, Grace: r.order.Grace})
	}
	return out
}

func (r *Run) onCheckpointed(now time.Time, e Checkpointed) []Action {
	m := r.member(e.Worker)
	if m == nil || r.Phase != Checkpointing || !e.OK {
		return nil
	}
	m.saved = true
	if r.all(func(m *member) bool { return m.saved || m.status == finished }) {
		return r.stop(now)
	}
	return nil
}

// fail ends the run because it can not be whole. It runs again unless an
// earlier order says otherwise; the scheduler counts failures.
func (r *Run) fail(now time.Time, reason string) []Action {
	if r.order.NextState == "" {
		r.order = StopRequest{NextState: job.Queued, Reason: reason}
	}
	return r.stop(now)
}

// stop tells every worker to end the gang. Where no start was sent, nothing
// runs and the message only frees the reservation early.
func (r *Run) stop(now time.Time) []Action {
	r.enter(Stopping, now)
	for _, m := range r.members {
		if m.status == idle || m.status == reserved {
			m.status = stopped
		}
	}
	out := r.tick(now)
	for _, m := range r.members {
		if m.status == stopped {
			out = append(out, Stop{Worker: m.worker, Reason: r.order.Reason})
		}
	}
	return append(out, r.closeIfStopped(now)...)
}

func (r *Run) onStopped(now time.Time, e Stopped) []Action {
	m := r.member(e.Worker)
	if m == nil || r.Phase != Stopping || !e.OK {
		return nil
	}
	m.status = stopped
	return r.closeIfStopped(now)
}

func (r *Run) onFenced(now time.Time, e Fenced) []Action {
	if r.Phase == Stopping && e.OK && r.fenced.IsZero() {
		r.fenced = now
	}
	return nil
}

func (r *Run) closeIfStopped(now time.Time) []Action {
	if !r.all(func(m *member) bool { return m.status == stopped || m.status == finished }) {
		return nil
	}
	return r.close(now)
}

func (r *Run) close(now time.Time) []Action {
	r.enter(RecordingOutcome, now)
	r.next = now.Add(callPatience)
	return []Action{r.record(r.order.NextState, r.order.Reason)}
}

// lapsed tells whether leases that were not confirmed as stopped have surely
// ended: nobody renews them, and a start under way has lost its reservation.
func (r *Run) lapsed(now time.Time) bool {
	return !r.fenced.IsZero() && !now.Before(r.fenced.Add(ReservationTTL+LeaseDuration+lapseMargin))
}

func (r *Run) tickStopping(now time.Time) []Action {
	if r.lapsed(now) {
		for _, m := range r.members {
			m.status = stopped
		}
		return r.closeIfStopped(now)
	}
	if now.Before(r.next) {
		return nil
	}
	r.next = now.Add(retryEvery)
	var out []Action
	for _, m := range r.members {
		if m.status == mayRun || m.status == runs {
			out = append(out, Stop{Worker: m.worker, Reason: r.order.Reason})
		}
	}
	if len(out) > 0 && r.fenced.IsZero() && now.Sub(r.since) >= retryEvery {
		out = append(out, Fence{})
	}
	return out
}
