package placement

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/shoenig/test/must"
)

// builder builds views for tests, with workers of 4 accelerators, two to a rack.
type builder struct{ v View }

func newBuilder(workers int) *builder {
	b := &builder{v: View{Now: noon}}
	for i := range workers {
		b.v.Workers = append(b.v.Workers, Worker{Name: "w" + string(rune('0'+i)), Rack: "r" + string(rune('0'+i/2)), Accelerators: 4})
	}
	return b
}

func shapeOf(tasks, per int, a job.Adjacency) job.Shape {
	return job.Shape{Tasks: tasks, AcceleratorsPerTask: per, Adjacency: a}
}

// running adds a gang with a declared run time that started the given time ago.
func (b *builder) running(org, name string, s job.Shape, run, ago time.Duration, workers ...string) *Gang {
	b.v.Running = append(b.v.Running, Gang{
		ID: job.ID{Organisation: org, Service: "s", Name: name}, Shape: s, Workers: workers,
		Checkpoint: true, Started: noon.Add(-ago), DeclaredRun: run,
	})
	return &b.v.Running[len(b.v.Running)-1]
}

// waiting adds a job with a declared run time that was submitted the given time ago.
func (b *builder) waiting(org, name string, s job.Shape, run, ago time.Duration) *WaitingJob {
	b.v.Waiting = append(b.v.Waiting, WaitingJob{
		ID: job.ID{Organisation: org, Service: "s", Name: name}, Shape: s, Submitted: noon.Add(-ago), DeclaredRun: run,
	})
	return &b.v.Waiting[len(b.v.Waiting)-1]
}

func started(p Plan) []string {
	names := []string{}
	for _, s := range p.Starts {
		names = append(names, s.ID.Name)
	}
	return names
}

func holdOf(p Plan, name string) string {
	for _, h := range p.Holds {
		if h.ID.Name == name {
			return h.Reason
		}
	}
	return ""
}

var wholeWorker = shapeOf(1, 4, job.SameWorker)

func TestOrderIsFairBetweenOrganisations(t *testing.T) {
	b := newBuilder(2)
	b.running("large", "old", wholeWorker, time.Hour, time.Minute, "w0")
	for _, name := range []string{"a", "b", "c"} {
		b.waiting("large", name, wholeWorker, time.Hour, time.Hour)
	}
	b.waiting("small", "later", wholeWorker, time.Hour, 10*time.Minute)
	must.Eq(t, []string{"later"}, started(Decide(b.v)))
}

func TestOverdueJobStartsFirst(t *testing.T) {
	b := newBuilder(1)
	b.waiting("a", "short", wholeWorker, time.Minute, time.Hour)
	b.waiting("a", "overdue", wholeWorker, 30*time.Hour, 13*time.Hour)
	must.Eq(t, []string{"overdue"}, started(Decide(b.v)))
	b.v.Guarantees = []Guarantee{{"b", wholeWorker, 1}} // it no longer fits beside all guarantees
	must.Eq(t, []string{"short"}, started(Decide(b.v)))
}

func TestBackfillRespectsReservation(t *testing.T) {
	b := newBuilder(2)
	b.running("a", "half", wholeWorker, time.Hour, 0, "w0").Checkpoint = false
	b.waiting("a", "both", shapeOf(2, 4, job.SameRack), time.Minute, 11*time.Hour)
	b.waiting("b", "long", wholeWorker, 3*time.Hour, 0)
	p := Decide(b.v)
	must.Len(t, 0, started(p))
	must.StrContains(t, holdOf(p, "both"), "kept for it from about 2026-12-04T13:00:00Z")
	must.StrContains(t, holdOf(p, "long"), "waited longer")
	b.waiting("b", "brief", wholeWorker, 10*time.Minute, 0)
	must.Eq(t, []string{"brief"}, started(Decide(b.v)))
}

func TestDisplacesOnlyWhenWaitSavedOutweighsDelay(t *testing.T) {
	b := newBuilder(2)
	s := shapeOf(1, 1, job.SameWorker)
	b.running("a", "left", s, 20*time.Hour, time.Hour, "w0")
	b.running("a", "right", s, 20*time.Hour, time.Hour, "w1")
	b.waiting("b", "wide", wholeWorker, 5*time.Hour, time.Hour)
	p := Decide(b.v) // one gang moves to the other worker and loses only a restart
	must.Len(t, 1, p.Reclaims)
	must.StrContains(t, p.Reclaims[0].Reason, "moved")
	b.v.Running[0].Shape, b.v.Running[1].Shape = wholeWorker, wholeWorker
	must.Len(t, 1, Decide(b.v).Reclaims) // saves 19 h for a delay of 5 h
	b.v.Waiting[0].DeclaredRun = 15 * time.Hour
	must.Len(t, 0, Decide(b.v).Reclaims) // saves 19 h for a delay of 15 h
}

// TestBackingIsRepairedWithinDecision checks that backing is planned anew within a
// decision: the first start takes w0, which backed b's slot, so that b needs w1 and
// the second job must reclaim accelerators on w0.
func TestBackingIsRepairedWithinDecision(t *testing.T) {
	half := shapeOf(1, 2, job.SameWorker)
	b := newBuilder(2)
	b.running("c", "beside", half, time.Hour, time.Hour, "w0")
	b.running("c", "other", wholeWorker, time.Hour, 0, "w1")
	b.v.Guarantees = []Guarantee{{"a", half, 1}, {"b", wholeWorker, 1}, {"d", half, 1}}
	b.waiting("a", "first", half, time.Hour, time.Hour).Urgent = true
	b.waiting("d", "second", half, time.Hour, time.Minute).Urgent = true
	p := Decide(b.v)
	must.Eq(t, []string{"first"}, started(p))
	must.Len(t, 1, p.Reclaims)
	must.Eq(t, "beside", p.Reclaims[0].ID.Name)
}

func TestReclaimIsFairBetweenOrganisations(t *testing.T) {
	b := newBuilder(3)
	b.running("modest", "one", wholeWorker, time.Hour, time.Hour, "w0")
	b.running("greedy", "two", wholeWorker, time.Hour, time.Hour, "w1")
	b.running("greedy", "three", wholeWorker, time.Hour, time.Hour, "w2")
	b.v.Guarantees = []Guarantee{{"a", wholeWorker, 1}}
	b.waiting("a", "urgent", wholeWorker, time.Hour, 0).Urgent = true
	p := Decide(b.v)
	must.Len(t, 1, p.Reclaims)
	must.Eq(t, "greedy", p.Reclaims[0].ID.Organisation)
	must.Eq(t, reasonGuaranteedReclaiming, holdOf(p, "urgent"))
}

func TestDeficitNamesCause(t *testing.T) {
	b := newBuilder(2)
	b.v.Guarantees = []Guarantee{{"a", wholeWorker, 2}}
	must.Len(t, 0, Decide(b.v).Deficits)
	b.v.Workers[1].UnavailableReason = "silent"
	d := Decide(b.v).Deficits
	must.Eq(t, []Deficit{{"a", wholeWorker, 1, "1 workers with 4 accelerators are unavailable; bring them back or lower the guarantees"}}, d)
	b.v.Guarantees[0].Count = 3
	must.StrContains(t, Decide(b.v).Deficits[0].Reason, "more adjacent accelerators than the 2 workers")
}

func TestFeasibleNamesRemedy(t *testing.T) {
	cases := []struct {
		shape  job.Shape
		remedy string
	}{
		{shapeOf(4, 2, job.SameRack), ""},
		{shapeOf(2, 4, job.SameWorker), "adjacency rack"},
		{shapeOf(3, 4, job.SameRack), "adjacency failure-domain"},
		{shapeOf(1, 5, job.SameRack), "at most 4 accelerators per task"},
		{shapeOf(40, 1, job.SameFailureDomain), "fewer tasks"},
		{shapeOf(65, 0, job.SameFailureDomain), "within these bounds"},
	}
	v := newBuilder(4).v
	v.Workers[0].UnavailableReason = "leaving" // counts, since it may return
	for _, c := range cases {
		ok, _, remedy := Feasible(v.Workers, c.shape)
		must.Eq(t, c.remedy == "", ok)
		must.StrContains(t, remedy, c.remedy)
	}
}

func TestPlacementPrefersFullerRacks(t *testing.T) {
	b := newBuilder(4)
	b.running("a", "one", shapeOf(1, 1, job.SameWorker), time.Hour, 0, "w2")
	b.waiting("a", "spread", shapeOf(3, 1, job.SameRack), time.Hour, 0)
	b.waiting("a", "rack", shapeOf(2, 4, job.SameRack), time.Hour, 0)
	p := Decide(b.v)
	must.Eq(t, []string{"spread", "rack"}, started(p))
	must.Eq(t, []string{"w2", "w2", "w2"}, p.Starts[0].Workers)
}

func TestEstimatesLearnRatios(t *testing.T) {
	e := NewEstimates()
	must.Eq(t, time.Hour, e.Predict("s", "t", time.Hour, .5))
	for range 30 {
		e.Observe("s", "t", time.Hour, 8*time.Hour)
	}
	near := e.Predict("s", "t", 2*time.Hour, .5)
	must.Between(t, 14*time.Hour, near, 18*time.Hour)
	must.Greater(t, time.Hour, e.Predict("s", "other", time.Hour, .5)) // predicted from the history of the service
	must.Greater(t, 20*time.Hour, e.PredictAfter("s", "t", time.Hour, 20*time.Hour, .5))
	data, err := json.Marshal(e)
	must.NoError(t, err)
	var again Estimates
	must.NoError(t, json.Unmarshal(data, &again))
	must.Eq(t, near, again.Predict("s", "t", 2*time.Hour, .5))
}

func TestPullableJobsStartAtOnce(t *testing.T) {
	b := newBuilder(2)
	b.running("a", "half", wholeWorker, time.Hour, 0, "w0").Checkpoint = false
	o := newBuilder(0)
	o.waiting("b", "wide", shapeOf(2, 4, job.SameRack), time.Hour, time.Hour)
	o.waiting("b", "fits", wholeWorker, time.Hour, time.Hour)
	o.waiting("b", "late", wholeWorker, time.Hour, time.Minute)
	must.Eq(t, []job.ID{o.v.Waiting[1].ID}, PullableJobs(b.v, o.v.Waiting))
	b.v.Out = true
	must.Len(t, 0, PullableJobs(b.v, o.v.Waiting))
	b.v.Out = false
	b.waiting("a", "own", shapeOf(2, 4, job.SameRack), time.Minute, time.Hour) // has a reservation
	must.Len(t, 0, PullableJobs(b.v, o.v.Waiting))
}
