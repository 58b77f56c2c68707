package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

func (r *Run) onStopRequest(now time.Time, e StopRequest) []Action {
	switch r.Phase {
	case Running:
		r.stopRequest = e
		r.enterPhase(RecordingStop, now)
		r.nextRetry = now.Add(recordRetryInterval)
		return []Action{r.recordState(job.Stopping, e.Reason)}
	case Reserving, Starting:
		r.stopRequest = e
		return r.stopMembers(now)
	case RecordingStop, Checkpointing, Stopping:
		r.upgradeStopRequest(e)
	}
	return nil
}

// upgradeStopRequest applies a later request that ends the job, when the earlier one
// would have queued it again.
func (r *Run) upgradeStopRequest(e StopRequest) {
	if r.stopRequest.NextState == job.Queued && e.NextState.Terminal() {
		r.stopRequest.NextState, r.stopRequest.Reason = e.NextState, e.Reason
	}
}

func (r *Run) checkpointMembers(now time.Time) []Action {
	if r.stopRequest.Grace <= 0 {
		return r.stopMembers(now)
	}
	r.enterPhase(Checkpointing, now)
	var out []Action
	for _, m := range r.members {
		out = append(out, Checkpoint{Worker: m.worker, Grace: r.stopRequest.Grace})
	}
	return out
}

func (r *Run) onCheckpointed(now time.Time, e Checkpointed) []Action {
	m := r.member(e.Worker)
	if m == nil || r.Phase != Checkpointing || !e.OK {
		return nil
	}
	m.checkpointed = true
	if r.allMembers(func(m *member) bool { return m.checkpointed || m.status == memberFinished }) {
		return r.stopMembers(now)
	}
	return nil
}

// failRun stops the run because not all of its tasks can run. The job is queued
// again unless an earlier stop request says otherwise; the scheduler counts
// failures.
func (r *Run) failRun(now time.Time, reason string) []Action {
	if r.stopRequest.NextState == "" {
		r.stopRequest = StopRequest{NextState: job.Queued, Reason: reason}
	}
	return r.stopMembers(now)
}

// stopMembers sends a stop to every worker of the gang. Where no start was sent,
// nothing runs and the stop only frees the reservation early.
func (r *Run) stopMembers(now time.Time) []Action {
	r.enterPhase(Stopping, now)
	for _, m := range r.members {
		if m.status == memberIdle || m.status == memberReserved {
			m.status = memberStopped
		}
	}
	out := r.tick(now)
	for _, m := range r.members {
		if m.status == memberStopped {
			out = append(out, Stop{Worker: m.worker, Reason: r.stopRequest.Reason})
		}
	}
	return append(out, r.recordOutcomeIfStopped(now)...)
}

func (r *Run) onStopped(now time.Time, e Stopped) []Action {
	m := r.member(e.Worker)
	if m == nil || r.Phase != Stopping || !e.OK {
		return nil
	}
	m.status = memberStopped
	return r.recordOutcomeIfStopped(now)
}

func (r *Run) onFenced(now time.Time, e Fenced) []Action {
	if r.Phase == Stopping && e.OK && r.fencedAt.IsZero() {
		r.fencedAt = now
	}
	return nil
}

func (r *Run) recordOutcomeIfStopped(now time.Time) []Action {
	if !r.allMembers(func(m *member) bool { return m.status == memberStopped || m.status == memberFinished }) {
		return nil
	}
	return r.recordOutcome(now)
}

func (r *Run) recordOutcome(now time.Time) []Action {
	r.enterPhase(RecordingOutcome, now)
	r.nextRetry = now.Add(recordRetryInterval)
	return []Action{r.recordState(r.stopRequest.NextState, r.stopRequest.Reason)}
}

// leasesExpired reports whether the leases of members that did not confirm the
// stop must have expired: since the fence no host renews them, and a start
// request still in flight finds its reservation expired.
func (r *Run) leasesExpired(now time.Time) bool {
	return !r.fencedAt.IsZero() && !now.Before(r.fencedAt.Add(ReservationTTL+LeaseDuration+leaseExpiryMargin))
}

func (r *Run) tickStopping(now time.Time) []Action {
	if r.leasesExpired(now) {
		for _, m := range r.members {
			m.status = memberStopped
		}
		return r.recordOutcomeIfStopped(now)
	}
	if now.Before(r.nextRetry) {
		return nil
	}
	r.nextRetry = now.Add(workerRetryInterval)
	var out []Action
	for _, m := range r.members {
		if m.status == memberMayRun || m.status == memberRunning {
			out = append(out, Stop{Worker: m.worker, Reason: r.stopRequest.Reason})
		}
	}
	if len(out) > 0 && r.fencedAt.IsZero() && now.Sub(r.phaseStart) >= workerRetryInterval {
		out = append(out, Fence{})
	}
	return out
}
