package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// model calls Decide after random events in a small failure domain.
type model struct {
	v       View
	lastJob int  // number that names the newest job
	steps   *int // decisions so far, over all runs of the model
}

var modelAdjacencies = []job.Adjacency{job.SameWorker, job.SameRack, job.SameFailureDomain}

func drawModelShape(t *rapid.T, most int) job.Shape {
	return job.Shape{
		Tasks:               rapid.IntRange(1, most).Draw(t, "tasks"),
		AcceleratorsPerTask: rapid.IntRange(1, 3).Draw(t, "per task"),
		Adjacency:           rapid.SampledFrom(modelAdjacencies).Draw(t, "adjacency"),
	}
}

func newModel(t *rapid.T, steps *int) *model {
	m := &model{steps: steps, v: View{Now: time.Unix(1_000_000, 0), Estimates: NewEstimates()}}
	for i := range rapid.IntRange(2, 6).Draw(t, "workers") {
		m.v.Workers = append(m.v.Workers, Worker{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"),
		})
	}
	m.v.Quotas = []Quota{{Organisation: "a", Team: "small", Accelerators: 4}}
	m.editGuarantees(t)
	return m
}

func (m *model) submitJob(t *rapid.T) {
	m.lastJob++
	shape := drawModelShape(t, 4)
	if len(m.v.Guarantees) > 0 && rapid.Bool().Draw(t, "guaranteed") {
		shape = rapid.SampledFrom(m.v.Guarantees).Draw(t, "like").Shape
	}
	m.v.Waiting = append(m.v.Waiting, WaitingJob{
		ID: job.ID{
			Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
			Service:      "s",
			Name:         fmt.Sprint(m.lastJob),
		},
		Team:        rapid.SampledFrom([]string{"small", "large"}).Draw(t, "team"),
		Shape:       shape,
		Urgent:      rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
		Checkpoint:  rapid.Bool().Draw(t, "checkpoint"),
		Submitted:   m.v.Now,
		DeclaredRun: time.Duration(rapid.IntRange(1, 600).Draw(t, "minutes")) * time.Minute,
	})
}

// editGuarantees draws new guarantees, most often no more than an empty failure
// domain can back.
func (m *model) editGuarantees(t *rapid.T) {
	m.v.Guarantees = nil
	empty := View{Workers: m.v.Workers}
	backed := rapid.IntRange(0, 4).Draw(t, "backed") > 0
	for range rapid.IntRange(0, 8).Draw(t, "guarantees") {
		g := Guarantee{
			Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
			Shape:        drawModelShape(t, 4),
			Count:        rapid.IntRange(0, 2).Draw(t, "count"),
		}
		empty.Guarantees = append(slices.Clone(m.v.Guarantees), g)
		if !backed || canBack(empty) {
			m.v.Guarantees = empty.Guarantees
		}
	}
}

func (m *model) finishGang(t *rapid.T) {
	if i := m.drawGang(t); i >= 0 {
		m.v.Running = slices.Delete(m.v.Running, i, i+1)
	}
}

func (m *model) cancelJobs(t *rapid.T) {
	m.v.Waiting = slices.DeleteFunc(m.v.Waiting, func(WaitingJob) bool { return rapid.Bool().Draw(t, "cancel") })
	if i := m.drawGang(t); i >= 0 {
		m.v.Running[i].Stopping = true
	}
}

// stopGangs ends every stopping gang and submits half of them again.
func (m *model) stopGangs(t *rapid.T) {
	for _, g := range m.v.Running {
		if g.Stopping && rapid.Bool().Draw(t, "again") {
			m.v.Waiting = append(m.v.Waiting, WaitingJob{
				ID: g.ID, Team: g.Team, Shape: g.Shape, Urgent: g.Urgent, Checkpoint: g.Checkpoint,
				Submitted: g.Started, DeclaredRun: g.DeclaredRun, Avoid: g.Workers[:1],
			})
		}
	}
	m.v.Running = slices.DeleteFunc(m.v.Running, func(g Gang) bool { return g.Stopping })
}

// changeWorker makes a worker silent and drops its gangs, makes it leave, marks it
// as probing, or makes it available again.
func (m *model) changeWorker(t *rapid.T) {
	i := rapid.IntRange(0, len(m.v.Workers)-1).Draw(t, "worker")
	w := &m.v.Workers[i]
	w.UnavailableReason, w.Probing = "", false
	switch rapid.IntRange(0, 11).Draw(t, "change") {
	case 0:
		w.UnavailableReason = "silent"
		m.v.Running = slices.DeleteFunc(m.v.Running, func(g Gang) bool { return slices.Contains(g.Workers, w.Name) })
	case 1:
		w.UnavailableReason = "leaving"
	case 2:
		w.Probing = true
	}
}

// changeOutOfService draws whether the failure domain is out of service.
func (m *model) changeOutOfService(t *rapid.T) { m.v.Out = rapid.IntRange(0, 3).Draw(t, "out") == 0 }

func (m *model) advanceClock(t *rapid.T) {
	m.v.Now = m.v.Now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "minutes")) * time.Minute)
}

// drawGang returns the index of a running gang, or -1 if there is none.
func (m *model) drawGang(t *rapid.T) int {
	if len(m.v.Running) == 0 {
		return -1
	}
	return rapid.IntRange(0, len(m.v.Running)-1).Draw(t, "gang")
}

// decideAndCheck makes a decision, checks the plan and applies it.
func (m *model) decideAndCheck(t *rapid.T) {
	*m.steps++
	p, err := decideTwice(m.v)
	if err == nil {
		err = checkPlan(m.v, p)
	}
	if err == nil {
		err = checkUrgentServed(m.v, p)
	}
	if err != nil {
		t.Fatalf("step %d: %v\nview %+v\nplan %+v", *m.steps, err, m.v, p)
	}
	m.v = viewAfter(m.v, p)
	if err := checkReclaimedServed(m.v, p); err != nil {
		t.Fatalf("step %d: %v\nview %+v\nplan %+v", *m.steps, err, m.v, p)
	}
}

// checkReclaimedServed checks that jobs that wait for reclaimed accelerators start
// once the gangs that were asked to stop have stopped. Jobs that only a quota holds
// back are left out.
func checkReclaimedServed(v View, p Plan) error {
	v = cloneView(v)
	v.Now = v.Now.Add(time.Minute)
	v.Running = slices.DeleteFunc(v.Running, func(g Gang) bool { return g.Stopping })
	v.Waiting = slices.DeleteFunc(v.Waiting, func(w WaitingJob) bool { return w.Team == "small" })
	next := Decide(v)
	for _, h := range p.Holds {
		if h.Reason == reasonGuaranteedReclaiming && slices.ContainsFunc(next.Holds, func(o Hold) bool { return o.ID == h.ID }) {
			return fmt.Errorf("accelerators were reclaimed for %v, but it does not start: %+v", h.ID, next)
		}
	}
	return nil
}

// checkUrgentServed checks that, while guarantees are backed, the first urgent job
// that fits an unused copy starts, or accelerators are reclaimed for it.
func checkUrgentServed(v View, p Plan) error {
	if v.Out || len(p.Deficits) > 0 {
		return nil
	}
	kept := protectedGangs(v)
	for _, w := range v.Waiting {
		if !w.Urgent || w.Team == "small" || len(w.Avoid) > 0 || otherUrgent(v, w) {
			continue
		}
		u := cloneView(v)
		u.Running = append(u.Running, Gang{ID: w.ID, Shape: w.Shape, Urgent: true, Guaranteed: true})
		if !anyAssignment(u, append(slices.Clone(kept), len(v.Running)), func([]bool) bool { return true }) {
			continue
		}
		for _, h := range p.Holds {
			if h.ID == w.ID && h.Reason != reasonGuaranteedReclaiming {
				return fmt.Errorf("urgent %v within its guarantee is held: %s", w.ID, h.Reason)
			}
		}
	}
	return nil
}

// otherUrgent reports whether another urgent job of the organisation may take the
// same copy.
func otherUrgent(v View, w WaitingJob) bool {
	return slices.ContainsFunc(v.Waiting, func(o WaitingJob) bool {
		return o.ID != w.ID && o.Urgent && o.ID.Organisation == w.ID.Organisation
	})
}

// TestPlansKeepInvariantsOverRandomEvents checks every plan over at least 10,000
// random events.
func TestPlansKeepInvariantsOverRandomEvents(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "20261204"))
	must.NoError(t, flag.Set("rapid.checks", "150"))
	must.NoError(t, flag.Set("rapid.steps", "100"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, &steps)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.submitJob, "arrive again": m.submitJob, "arrive more": m.submitJob, "finish": m.finishGang, "finish again": m.finishGang, "finish more": m.finishGang, "cancel": m.cancelJobs,
			"stop": m.stopGangs, "worker": m.changeWorker, "drain": m.changeOutOfService, "edit": m.editGuarantees, "wait": m.advanceClock, "": m.decideAndCheck,
		})
	})
	must.GreaterEq(t, 10_000, steps)
	t.Logf("%d steps", steps)
}
