package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

// The traces are described in docs/design/placement.md.

type traceJob struct {
	WaitingJob
	trueRun time.Duration
}

type traceTemplate struct {
	organisation, service, name     string
	medianRunSeconds, declaredRatio float64
}

type traceSize struct {
	name         string
	workers      []int // number of workers of each failure domain
	span         time.Duration
	mixedWorkers bool // workers of 8, 4 and 1 accelerators (the letter1 traces) instead of 8 each
}

var (
	uniformOne = traceSize{"users-one", []int{13}, 14 * 24 * time.Hour, false}
	uniformAll = traceSize{"users-whole", []int{13, 13, 12, 12}, 14 * 24 * time.Hour, false}
	mixedOne   = traceSize{"letter1-one", []int{243}, 3 * 24 * time.Hour, true}
	mixedAll   = traceSize{"letter1-whole", []int{243, 243, 242, 242}, 2 * 24 * time.Hour, true}
)

func (s traceSize) cluster(fd int) []Worker {
	out := make([]Worker, s.workers[fd])
	for i := range out {
		rack := i / 6
		out[i] = Worker{Name: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", rack), Accelerators: 8}
		if s.mixedWorkers {
			out[i].Accelerators = [...]int{8, 4, 4, 1, 1, 1, 1, 1, 1, 1}[rack%10]
		}
	}
	return out
}

func (s traceSize) guarantees() []Guarantee {
	per, count := 8, 1
	if s.mixedWorkers {
		per, count = 4, 2
	}
	shape := func(tasks int, a job.Adjacency) job.Shape {
		return job.Shape{Tasks: tasks, AcceleratorsPerTask: per, Adjacency: a}
	}
	return []Guarantee{
		{"org0", shape(4, job.SameRack), count}, {"org0", shape(1, job.SameWorker), count},
		{"org1", shape(2, job.SameRack), count}, {"org1", shape(1, job.SameWorker), count},
		{"org2", shape(1, job.SameWorker), count}, {"org3", shape(1, job.SameWorker), count},
	}
}

func accelerators(ws []Worker) int {
	n := 0
	for _, w := range ws {
		n += w.Accelerators
	}
	return n
}

// pick returns a random index, each with the probability that weights gives it.
func pick(r *rand.Rand, weights ...float64) int {
	x := r.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func drawShape(r *rand.Rand) job.Shape {
	total := 1 << pick(r, .40, .15, .13, .14, .09, .06, .03)
	per := min(1<<pick(r, .55, .25, .12, .08), total)
	adjacencies := []job.Adjacency{job.SameWorker, job.SameRack, job.SameFailureDomain}
	weights := []float64{.5, .3, .2}
	switch {
	case total == 8:
		weights = []float64{.3, .4, .3}
	case total == 16 || total == 32:
		weights = []float64{0, .4, .6}
	case total == 64:
		weights = []float64{0, 0, 1}
	}
	return job.Shape{Tasks: total / per, AcceleratorsPerTask: per, Adjacency: adjacencies[pick(r, weights...)]}
}

func drawTemplates(r *rand.Rand) []traceTemplate {
	var out []traceTemplate
	for org := range 4 {
		for service := range 3 {
			for name := range 2 {
				out = append(out, traceTemplate{
					organisation:     fmt.Sprintf("org%d", org),
					service:          fmt.Sprintf("service%d-%d", org, service),
					name:             fmt.Sprintf("template%d", name),
					medianRunSeconds: 3600 * math.Exp(r.NormFloat64()),
					declaredRatio:    math.Exp((2*r.Float64() - 1) * math.Log(5)),
				})
			}
		}
	}
	return out
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// drawTrace returns jobs in order of submission. Submission times are offsets from
// the zero time.
func drawTrace(size traceSize, load float64, seed uint64) []traceJob {
	r := rand.New(rand.NewPCG(seed, 7))
	templates := drawTemplates(r)
	total := 0
	for fd := range size.workers {
		total += accelerators(size.cluster(fd))
	}
	remainingWork := load * float64(total) * size.span.Seconds()
	feasible := feasibleIn(size.cluster(0))
	var out []traceJob
	for remainingWork > 0 {
		t := templates[6*pick(r, .40, .30, .15, .15)+r.IntN(6)]
		at := seconds(r.Float64() * size.span.Seconds())
		count := 1
		if r.Float64() < 1.0/19 { // a burst has 18 jobs on average
			count = 4 + r.IntN(29)
		}
		for range count {
			j := drawJob(r, t, feasible, len(out))
			j.Submitted = time.Time{}.Add(at)
			remainingWork -= j.trueRun.Seconds() * float64(j.Shape.Accelerators())
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b traceJob) int { return a.Submitted.Compare(b.Submitted) })
	return out
}

// feasibleIn returns a function that caches the results of Feasible on the workers.
func feasibleIn(workers []Worker) func(job.Shape) bool {
	known := map[job.Shape]bool{}
	return func(s job.Shape) bool {
		ok, seen := known[s]
		if !seen {
			ok, _, _ = Feasible(workers, s)
			known[s] = ok
		}
		return ok
	}
}

func drawJob(r *rand.Rand, t traceTemplate, feasible func(job.Shape) bool, n int) traceJob {
	run := clamp(t.medianRunSeconds*math.Exp(r.NormFloat64()), 60, 48*3600)
	declared := clamp(run*t.declaredRatio*math.Exp(.8*r.NormFloat64()), run/10, run*10)
	shape := drawShape(r)
	for !feasible(shape) {
		shape = drawShape(r)
	}
	return traceJob{trueRun: seconds(run), WaitingJob: WaitingJob{
		ID:          job.ID{Organisation: t.organisation, Service: t.service, Name: fmt.Sprintf("job%06d", n)},
		Template:    t.name,
		Shape:       shape,
		Urgent:      r.Float64() < .03,
		Checkpoint:  r.Float64() < .7,
		DeclaredRun: seconds(declared),
	}}
}
