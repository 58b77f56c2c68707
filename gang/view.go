package gang

import (
	"sort"
	"time"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

// placementView builds the input of a placement decision.
func (s *Scheduler) placementView(now time.Time, records map[string]job.Record, snap *config.Snapshot) placement.View {
	v := placement.View{
		Now:        now,
		Out:        snap.FailureDomains[s.o.FailureDomain].Out,
		Workers:    s.placementWorkers(now),
		Estimates:  s.estimates,
		Guarantees: placementGuarantees(snap, s.o.FailureDomain),
		Quotas:     placementQuotas(snap),
	}
	for _, key := range sortedKeys(s.runs) {
		v.Running = append(v.Running, s.runs[key].placementGang())
	}
	for _, key := range sortedKeys(records) {
		rec := records[key]
		if s.isStartable(now, key, rec) && !serviceRetired(snap, rec) {
			v.Waiting = append(v.Waiting, placementWaitingJob(rec))
		}
	}
	return v
}

func serviceRetired(snap *config.Snapshot, rec job.Record) bool {
	_, retired := snap.Retired[rec.Spec.ID.Service]
	return retired
}

// placementGang returns the run as a gang that occupies its accelerators.
func (t *trackedRun) placementGang() placement.Gang {
	rec := t.record
	return placement.Gang{
		ID:           rec.Spec.ID,
		Team:         rec.Team,
		Template:     rec.Spec.Template,
		Generation:   t.run.Gang.Generation,
		Shape:        rec.Spec.Shape,
		Workers:      t.run.Workers,
		Urgent:       rec.Spec.Urgent,
		Checkpoint:   rec.Spec.Checkpoint,
		Guaranteed:   rec.Guaranteed,
		Stopping:     t.run.Phase >= RecordingStop,
		Started:      rec.Started,
		Checkpointed: rec.Checkpointed,
		DeclaredRun:  rec.Spec.DeclaredRun,
	}
}

func placementWaitingJob(rec job.Record) placement.WaitingJob {
	return placement.WaitingJob{
		ID:          rec.Spec.ID,
		Team:        rec.Team,
		Template:    rec.Spec.Template,
		Shape:       rec.Spec.Shape,
		Urgent:      rec.Spec.Urgent,
		Checkpoint:  rec.Spec.Checkpoint,
		Submitted:   rec.Submitted,
		DeclaredRun: rec.Spec.DeclaredRun,
		Avoid:       rec.Avoid,
	}
}

// placementWorkers lists the failure domain's workers, and for some why they take
// no new gang.
func (s *Scheduler) placementWorkers(now time.Time) []placement.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []placement.Worker
	for _, h := range s.o.Membership.View().Workers(s.o.FailureDomain) {
		w := placement.Worker{Name: h.Name, Rack: h.Rack, Accelerators: h.Accelerators}
		w.UnavailableReason = s.quarantine.UnavailableReason(h.Name, now)
		w.Probing = s.quarantine.Probing(h.Name, now)
		last, missed := s.unanswered[h.Name]
		switch {
		case h.Leaving:
			w.UnavailableReason = "leaving"
		case missed && now.Sub(last) < unansweredCooldown:
			w.UnavailableReason = "silent"
		}
		out = append(out, w)
	}
	return out
}

func placementGuarantees(snap *config.Snapshot, failureDomain string) []placement.Guarantee {
	var out []placement.Guarantee
	for _, name := range sortedKeys(snap.Organisations) {
		for _, g := range snap.Organisations[name].Guarantees {
			if g.FailureDomain == failureDomain {
				out = append(out, placement.Guarantee{Organisation: name, Shape: g.Shape, Count: g.Count})
			}
		}
	}
	return out
}

func placementQuotas(snap *config.Snapshot) []placement.Quota {
	var out []placement.Quota
	for _, name := range sortedKeys(snap.Organisations) {
		for _, t := range snap.Organisations[name].Teams {
			out = append(out, placement.Quota{Organisation: name, Team: t.Name, Accelerators: t.Quota})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}
