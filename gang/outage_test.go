package gang

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// quietWorld has no random faults, and its first host holds the term.
func quietWorld(t *testing.T) *world {
	w := newWorld(t, 1)
	w.calm = true
	w.runTime = time.Hour
	w.hosts[1].cut = true
	w.run(3 * time.Second)
	w.hosts[1].cut = false
	w.run(2 * time.Second)
	return w
}

// running returns the generation that runs of a job; 0: none.
func (w *world) running(key string) uint64 {
	for _, s := range w.workers {
		for _, t := range s.Tasks().Tasks {
			if t.State == workerapi.TaskRunning && t.Gang.Job == key {
				return t.Gang.Generation
			}
		}
	}
	return 0
}

func TestOutageStartsNothingAndStopsNothing(t *testing.T) {
	t.Parallel()
	w := quietWorld(t)
	lost := w.ledger["o/s/0"]
	w.down = true
	w.run(termLength + 5*time.Second) // no scheduler any more
	w.workers[number(lost.Workers[0])].Restart()
	before := w.starts
	w.run(30 * time.Minute)
	must.EqOp(t, before, w.starts)
	must.EqOp(t, 0, w.running("o/s/0"))
	kept := 0
	for key, rec := range w.ledger {
		if !slices.Contains(rec.Workers, lost.Workers[0]) {
			must.EqOp(t, rec.Generation, w.running(key))
			kept++
		}
	}
	must.Positive(t, kept)
	w.down = false
	w.run(time.Minute)
	must.Greater(t, 1, w.running("o/s/0"))
}

func TestFrozenWorkersGangRestartsOnceItsLeaseLapsed(t *testing.T) {
	t.Parallel()
	w := quietWorld(t)
	k := number(w.ledger["o/s/0"].Workers[0])
	w.links[0][k], w.links[1][k] = true, true
	w.run(LeaseDuration - RenewInterval)
	must.EqOp(t, 1, w.running("o/s/0"), must.Sprint("its lease has not lapsed"))
	w.run(2 * time.Minute)
	again := w.running("o/s/0")
	must.Greater(t, 1, again)
	w.links[0][k], w.links[1][k] = false, false
	w.run(time.Minute)
	must.EqOp(t, again, w.running("o/s/0"))
}

// TestCutOffRenewerIsFenced has a host that knows only an old ledger and still
// reaches a worker that the scheduler can not reach.
func TestCutOffRenewerIsFenced(t *testing.T) {
	t.Parallel()
	w := quietWorld(t)
	k := number(w.ledger["o/s/0"].Workers[0])
	w.hosts[1].cut, w.apart = true, true
	w.links[0][k] = true
	w.run(5 * time.Minute)
	must.EqOp(t, 1, w.running("o/s/0"), must.Sprint("the other host goes on renewing"))
	w.apart = false
	w.run(5 * time.Minute)
	must.Greater(t, 1, w.running("o/s/0"))
}

// fixedView is a membership.Source that never changes.
type fixedView struct{ view membership.View }

func (f *fixedView) View() *membership.View { return &f.view }

// TestHostBootedInAnOutageRenewsWholeGangs has an entry host that never read
// the ledger: it keeps what the workers run, but no gang in part.
func TestHostBootedInAnOutageRenewsWholeGangs(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	view := &fixedView{membership.View{Self: kvstore.Host{Name: "entry", Kind: kvstore.EntryHost, FailureDomain: "fd1"}}}
	whole, part := workerapi.Gang{Job: "o/s/whole", Generation: 1}, workerapi.Gang{Job: "o/s/part", Generation: 1}
	var workers []*worker.Server
	for i := range 2 {
		w := worker.New(worker.Options{Accelerators: 2, Now: func() time.Time { return now }})
		s := httptest.NewServer(w)
		t.Cleanup(s.Close)
		workers = append(workers, w)
		view.view.Hosts = append(view.view.Hosts, kvstore.Host{Name: string(rune('0' + i)), Kind: kvstore.Worker,
			FailureDomain: "fd1", Rack: "r", Address: strings.TrimPrefix(s.URL, "http://")})
		for _, g := range []workerapi.Gang{whole, part}[:2-i] {
			w.Reserve(workerapi.ReserveRequest{Gang: g, Tasks: []int{i}, AcceleratorsPerTask: 1, TTL: ReservationTTL})
			w.Start(workerapi.StartRequest{Gang: g, Tasks: []int{i}, Size: 2, Lease: LeaseDuration})
		}
	}
	o := Options{FailureDomain: "fd1", Membership: view, Now: func() time.Time { return now },
		Ledger: ledger.New(ledger.Options{}).Jobs("fd1")}.withDefaults()
	r := newRenewer(o, func(Observation) {})
	now = now.Add(LeaseDuration - time.Second)
	r.renewRound(context.Background())
	now = now.Add(2 * time.Second)
	var running []workerapi.Gang
	for _, w := range workers {
		for _, task := range w.Tasks().Tasks {
			if task.State == workerapi.TaskRunning {
				running = append(running, task.Gang)
			}
		}
	}
	must.Eq(t, []workerapi.Gang{whole, whole}, running)
}
