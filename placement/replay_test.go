package placement

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// replay runs a trace through a placement policy in virtual time.
type replay struct {
	size                                   traceSize
	decide                                 func(View) Plan
	oracle                                 bool // give the policy the true run times
	pullsJobs                              bool // failure domains with free accelerators take held jobs of others
	now                                    time.Time
	events                                 eventQueue
	domains                                []*replayDomain
	estimates                              *Estimates
	jobs                                   []*replayJob
	outAt                                  time.Time // when the first failure domain is taken out; zero: never
	backAt                                 time.Time // when it returns
	windowEnd                              time.Time // end of the window from outAt in which work is measured
	doneWork, capacityWork, demandedWork   float64   // accelerator-seconds within the window
	fragmentationSum, fragmentationSeconds float64
	decisions                              int
	reclaims, reclaimsWithoutCheckpoint    int
}

type replayDomain struct {
	workers       []Worker
	feasible      func(job.Shape) bool
	accelerators  int // of all its workers
	out           bool
	running       []*replayJob
	waiting       []*replayJob
	load          float64 // predicted accelerator-seconds of its jobs
	needsDecision bool
}

type replayJob struct {
	traceJob
	fd                        int
	gang                      Gang
	generation                int
	savedProgress             time.Duration // run time done and kept by checkpoints
	restartOverhead           time.Duration // delay before this start makes progress
	predicted                 float64       // accelerator-seconds
	firstStart, end, lastMove time.Time
}

type event struct {
	at         time.Time
	kind       eventKind
	job        *replayJob
	generation int
}

type eventKind int

const (
	jobSubmitted eventKind = iota
	gangFinished
	gangStopped
	domainLeaves
	domainReturns
	decisionDue
)

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

const (
	replayStopTime        = time.Minute
	replayRestartOverhead = 2 * time.Minute
	replayMoveInterval    = 10 * time.Minute
)

func newReplay(size traceSize, trace []traceJob, decide func(View) Plan) *replay {
	r := &replay{size: size, decide: decide, estimates: NewEstimates()}
	for fd := range size.workers {
		ws := size.cluster(fd)
		r.domains = append(r.domains, &replayDomain{workers: ws, feasible: feasibleIn(ws), accelerators: accelerators(ws)})
	}
	for _, t := range trace {
		j := &replayJob{traceJob: t}
		r.jobs = append(r.jobs, j)
		heap.Push(&r.events, event{at: t.Submitted, kind: jobSubmitted, job: j})
	}
	return r
}

// leaveAndReturn takes the first failure domain out of service for six hours.
func (r *replay) leaveAndReturn() {
	r.outAt = time.Time{}.Add(r.size.span / 2)
	r.backAt = r.outAt.Add(6 * time.Hour)
	r.windowEnd = r.backAt.Add(2 * time.Hour)
	heap.Push(&r.events, event{at: r.outAt, kind: domainLeaves})
	heap.Push(&r.events, event{at: r.backAt, kind: domainReturns})
	heap.Push(&r.events, event{at: r.windowEnd, kind: decisionDue})
}

func (r *replay) run() {
	for len(r.events) > 0 {
		r.accumulate(r.events[0].at)
		r.now = r.events[0].at
		for len(r.events) > 0 && r.events[0].at.Equal(r.now) {
			r.handle(heap.Pop(&r.events).(event))
		}
		r.decideAll()
		for fd := range r.domains {
			r.pull(fd)
		}
		r.decideAll()
	}
}

func (r *replay) decideAll() {
	for fd, d := range r.domains {
		if d.needsDecision {
			d.needsDecision = false
			r.apply(fd, r.decide(r.view(d)))
		}
	}
}

// pull moves jobs that other failure domains hold to one that can start them.
func (r *replay) pull(fd int) {
	d := r.domains[fd]
	if !r.pullsJobs || d.out {
		return
	}
	var offered []WaitingJob
	byID := map[job.ID]*replayJob{}
	for other, from := range r.domains {
		if other == fd || from.out {
			continue
		}
		for _, j := range from.waiting {
			if r.now.Sub(j.lastMove) >= replayMoveInterval {
				offered = append(offered, j.WaitingJob)
				byID[j.ID] = j
			}
		}
	}
	slices.SortStableFunc(offered, func(a, b WaitingJob) int { return a.Submitted.Compare(b.Submitted) })
	for _, id := range PullableJobs(r.view(d), offered) {
		j := byID[id]
		from := r.domains[j.fd]
		from.waiting = slices.DeleteFunc(from.waiting, func(o *replayJob) bool { return o == j })
		from.load -= j.predicted
		d.load += j.predicted
		j.fd, j.lastMove = fd, r.now
		d.waiting = append(d.waiting, j)
		d.needsDecision = true
	}
}

func (r *replay) handle(e event) {
	switch e.kind {
	case jobSubmitted:
		r.submit(e.job)
	case gangFinished:
		if e.job.generation == e.generation && !e.job.gang.Stopping {
			r.finish(e.job)
		}
	case gangStopped:
		r.stop(e.job)
	case domainLeaves:
		r.domains[0].out = true
		r.reroute(r.domains[0])
	case domainReturns:
		r.domains[0].out = false
		for _, d := range r.domains {
			r.reroute(d)
		}
	case decisionDue:
		for _, d := range r.domains {
			d.needsDecision = true
		}
	}
}

func (r *replay) submit(j *replayJob) {
	if r.oracle {
		j.DeclaredRun = j.trueRun
	}
	run := r.estimates.Predict(j.ID.Service, j.Template, j.DeclaredRun, .5)
	if r.oracle {
		run = j.trueRun
	}
	j.predicted = run.Seconds() * float64(j.Shape.Accelerators())
	best := math.Inf(1)
	for fd, d := range r.domains {
		if l := d.load / float64(d.accelerators); !d.out && l < best && d.feasible(j.Shape) {
			best, j.fd = l, fd
		}
	}
	d := r.domains[j.fd]
	d.load += j.predicted
	d.waiting = append(d.waiting, j)
	d.needsDecision = true
}

func (r *replay) reroute(d *replayDomain) {
	jobs := d.waiting
	d.waiting = nil
	d.needsDecision = true
	for _, j := range jobs {
		d.load -= j.predicted
	}
	for _, j := range jobs {
		r.submit(j)
	}
}

func (r *replay) removeRunning(j *replayJob) *replayDomain {
	d := r.domains[j.fd]
	d.running = slices.DeleteFunc(d.running, func(o *replayJob) bool { return o == j })
	d.load -= j.predicted
	d.needsDecision = true
	return d
}

func (r *replay) finish(j *replayJob) {
	r.removeRunning(j)
	j.end = r.now
	r.estimates.Observe(j.ID.Service, j.Template, j.DeclaredRun, j.trueRun)
}

func (r *replay) stop(j *replayJob) {
	r.removeRunning(j)
	j.gang = Gang{}
	r.submit(j)
}

func (r *replay) view(d *replayDomain) View {
	v := View{Now: r.now, Out: d.out, Workers: d.workers, Guarantees: r.size.guarantees(), Estimates: r.estimates}
	if r.oracle {
		v.Estimates = nil
	}
	for _, j := range d.running {
		v.Running = append(v.Running, j.gang)
	}
	for _, j := range d.waiting {
		v.Waiting = append(v.Waiting, j.WaitingJob)
	}
	return v
}

func (r *replay) apply(fd int, p Plan) {
	r.decisions++
	d := r.domains[fd]
	byID := map[job.ID]*replayJob{}
	for _, j := range d.waiting {
		byID[j.ID] = j
	}
	for _, s := range p.Starts {
		r.start(d, byID[s.ID], s)
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(j *replayJob) bool { return j.gang.ID != job.ID{} })
	for _, c := range p.Reclaims {
		i := slices.IndexFunc(d.running, func(j *replayJob) bool { return j.ID == c.ID })
		r.reclaim(d.running[i])
	}
	if !p.DecideAgainAt.IsZero() {
		heap.Push(&r.events, event{at: p.DecideAgainAt, kind: decisionDue})
	}
}

func (r *replay) start(d *replayDomain, j *replayJob, s Start) {
	j.gang = Gang{
		ID: j.ID, Template: j.Template, Shape: j.Shape, Workers: s.Workers, Urgent: j.Urgent,
		Checkpoint: j.Checkpoint, Guaranteed: s.Guaranteed, Started: r.now, DeclaredRun: j.DeclaredRun,
	}
	if j.firstStart.IsZero() {
		j.firstStart = r.now
	}
	d.running = append(d.running, j)
	heap.Push(&r.events, event{at: r.now.Add(j.restartOverhead + j.trueRun - j.savedProgress), kind: gangFinished, job: j, generation: j.generation})
}

func (r *replay) reclaim(j *replayJob) {
	r.reclaims++
	progress := max(0, r.now.Sub(j.gang.Started)-j.restartOverhead)
	if j.Checkpoint {
		j.savedProgress += progress
		j.restartOverhead = replayRestartOverhead
	} else {
		r.reclaimsWithoutCheckpoint++
		if !r.outAt.IsZero() && !r.now.Before(r.outAt) && !r.now.After(r.windowEnd) {
			since := min(progress, r.now.Sub(r.outAt))
			r.doneWork -= since.Seconds() * float64(j.Shape.Accelerators())
		}
	}
	j.gang.Stopping = true
	j.generation++
	heap.Push(&r.events, event{at: r.now.Add(replayStopTime), kind: gangStopped, job: j})
}

// accumulate adds to the measures the time from now until the given one.
func (r *replay) accumulate(until time.Time) {
	dt := until.Sub(r.now).Seconds()
	inWindow := !r.outAt.IsZero() && !r.now.Before(r.outAt) && r.now.Before(r.windowEnd)
	capacity, demand := 0, 0
	for _, d := range r.domains {
		if inWindow && !d.out {
			capacity += d.accelerators
			demand += d.demand()
			r.doneWork += dt * float64(d.working(r.now))
		}
		if r.now.Before(time.Time{}.Add(r.size.span)) && !d.out && dt > 0 {
			if f, ok := fragmentation(d, r.size.guarantees()); ok {
				r.fragmentationSum += f * dt
				r.fragmentationSeconds += dt
			}
		}
	}
	r.capacityWork += dt * float64(capacity)
	r.demandedWork += dt * float64(min(capacity, demand))
}

// demand returns the accelerators that a failure domain's jobs could use.
func (d *replayDomain) demand() int {
	n := 0
	for _, j := range d.running {
		n += j.Shape.Accelerators()
	}
	for _, j := range d.waiting {
		n += j.Shape.Accelerators()
	}
	return n
}

// working returns the accelerators of gangs that make progress.
func (d *replayDomain) working(now time.Time) int {
	n := 0
	for _, j := range d.running {
		if !j.gang.Stopping && now.Sub(j.gang.Started) >= j.restartOverhead {
			n += j.Shape.Accelerators()
		}
	}
	return n
}

// fragmentation returns the share of free accelerators that copies of the largest
// waiting shape, or of the largest guaranteed one, cannot use.
func fragmentation(d *replayDomain, gs []Guarantee) (share float64, ok bool) {
	k := topology.NewCapacity(topology.NewCluster(topologyWorkers(d.workers)))
	for _, j := range d.running {
		for _, name := range j.gang.Workers {
			w, _ := k.Position(name)
			k.Allocate(w, j.Shape.AcceleratorsPerTask)
		}
	}
	free := k.TotalFree()
	if free == 0 {
		return 0, false
	}
	largest := gs[0].Shape
	for i, j := range d.waiting {
		if i == 0 || j.Shape.Accelerators() > largest.Accelerators() {
			largest = j.Shape
		}
	}
	for placement := k.Fit(largest, nil); placement != nil; placement = k.Fit(largest, nil) {
		k.AllocateAll(placement, largest.AcceleratorsPerTask)
	}
	return float64(k.TotalFree()) / float64(free), true
}

// replayResult holds the measures of one replay, or sums of them.
type replayResult struct {
	meanCompletion, p95Completion float64       // divided by the mean run time
	smallMean                     float64       // mean completion time divided by mean run time, of gangs under 16 accelerators
	longestWaitOfLargest          time.Duration // longest wait of a gang of the largest size
	fragmented                    float64
	workOfCapacity                float64 // work in the window as a share of what the accelerators in service could do
	workOfDemand                  float64 // work in the window as a share of what they could do with the jobs there were
}

func (r *replay) result() replayResult {
	var runs, completions, smallRuns, small []float64
	var out replayResult
	mostAccelerators := 0
	for _, j := range r.jobs {
		mostAccelerators = max(mostAccelerators, j.Shape.Accelerators())
	}
	for _, j := range r.jobs {
		if j.end.IsZero() {
			panic("job did not end: " + j.ID.String())
		}
		c := j.end.Sub(j.Submitted).Seconds()
		runs = append(runs, j.trueRun.Seconds())
		completions = append(completions, c)
		if j.Shape.Accelerators() < 16 {
			small = append(small, c)
			smallRuns = append(smallRuns, j.trueRun.Seconds())
		}
		if j.Shape.Accelerators() == mostAccelerators {
			out.longestWaitOfLargest = max(out.longestWaitOfLargest, j.firstStart.Sub(j.Submitted))
		}
	}
	out.meanCompletion = average(completions) / average(runs)
	out.smallMean = average(small) / average(smallRuns)
	slices.Sort(completions)
	out.p95Completion = completions[len(completions)*95/100] / average(runs)
	out.fragmented = r.fragmentationSum / r.fragmentationSeconds
	out.workOfCapacity = r.doneWork / r.capacityWork
	out.workOfDemand = r.doneWork / r.demandedWork
	return out
}

func average(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}
