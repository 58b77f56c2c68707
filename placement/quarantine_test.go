package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/shoenig/test/must"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func jobID(service string, n int) job.ID {
	return job.ID{Organisation: "a", Service: service, Name: fmt.Sprint(n)}
}

func TestQuarantineDoublesBackoffAndProbes(t *testing.T) {
	q := NewQuarantine()
	for n := range jobsToQuarantineWorker {
		must.Eq(t, "", q.UnavailableReason("w", noon))
		q.RecordFailure("w", jobID("s", n), "t", 20, noon)
		q.RecordFailure("w", jobID("s", n), "t", 20, noon) // the same job counts once
	}
	must.StrContains(t, q.UnavailableReason("w", noon), "3 different jobs")
	end := noon.Add(initialBackoff)
	must.Eq(t, end, q.NextEnd(noon))
	must.Eq(t, "", q.UnavailableReason("w", end))
	must.True(t, q.Probing("w", end))

	q.RecordFailure("w", jobID("s", 9), "t", 20, end) // one failure while probing doubles the backoff
	must.NotEq(t, "", q.UnavailableReason("w", end.Add(2*initialBackoff-1)))
	end = end.Add(2 * initialBackoff)
	q.RecordSuccess([]string{"w"}, jobID("s", 10), "t")
	must.False(t, q.Probing("w", end))
	must.Eq(t, "", q.UnavailableReason("w", end))
}

func TestTemplateFailingOnSeveralWorkersDoesNotQuarantineThem(t *testing.T) {
	q := NewQuarantine()
	for n := range 30 {
		q.RecordFailure(fmt.Sprintf("w%d", n%10), jobID("broken", n), "t", 20, noon)
	}
	for n := range 10 {
		must.Eq(t, "", q.UnavailableReason(fmt.Sprintf("w%d", n), noon))
	}
}

func TestQuarantineCoversAtMostAQuarterOfWorkers(t *testing.T) {
	q := NewQuarantine()
	out := 0
	for w := range 12 {
		for n := range 5 {
			q.RecordFailure(fmt.Sprintf("w%d", w), jobID(fmt.Sprintf("s%d-%d", w, n), n), "t", 12, noon)
		}
		if q.UnavailableReason(fmt.Sprintf("w%d", w), noon) != "" {
			out++
		}
	}
	must.Eq(t, 3, out)
}

func TestJobFailsAfterFailuresOnSeveralWorkers(t *testing.T) {
	q := NewQuarantine()
	id := jobID("s", 1)
	for _, w := range []string{"w2", "w1", "w1"} {
		fails, _ := q.RecordFailure(w, id, "t", 20, noon)
		must.False(t, fails)
	}
	must.Eq(t, []string{"w1", "w2"}, q.FailedWorkers(id))
	fails, reason := q.RecordFailure("w3", id, "t", 20, noon)
	must.True(t, fails)
	must.StrContains(t, reason, "3 different workers")
	q.ForgetJob(id)
	must.Len(t, 0, q.FailedWorkers(id))
}

func TestProbeTakesOneSmallJob(t *testing.T) {
	one := job.Shape{Tasks: 1, AcceleratorsPerTask: 1, Adjacency: job.SameWorker}
	v := View{Now: noon, Workers: []Worker{{Name: "w", Rack: "r", Accelerators: 4, Probing: true}}}
	for n := range 3 {
		v.Waiting = append(v.Waiting, WaitingJob{ID: jobID("s", n), Shape: one, Submitted: noon, DeclaredRun: time.Hour})
	}
	v.Waiting[0].Shape.Tasks = 2
	v.Waiting[1].Avoid = []string{"w"}
	p := Decide(v)
	must.Eq(t, []Start{{ID: jobID("s", 2), Workers: []string{"w"}}}, p.Starts)
	must.Len(t, 0, Decide(viewAfter(v, p)).Starts)
}
