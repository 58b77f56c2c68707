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

// newFaultFreeSimulation has no random faults, and its first host holds the term.
func newFaultFreeSimulation(t *testing.T) *simulation {
	w := newSimulation(t, 1)
	w.faultFree = true
	w.runTime = time.Hour
	w.hosts[1].platformCut = true
	w.advance(3 * time.Second)
	w.hosts[1].platformCut = false
	w.advance(2 * time.Second)
	return w
}

// runningGeneration returns the generation that runs of a job; 0: none.
func (w *simulation) runningGeneration(key string) uint64 {
	for _, s := range w.workers {
		for _, t := range s.Tasks().Tasks {
			if t.State == workerapi.TaskRunning && t.Gang.Job == key {
				return t.Gang.Generation
			}
		}
	}
	return 0
}

func TestPlatformOutageStartsAndStopsNoGang(t *testing.T) {
	t.Parallel()
	w := newFaultFreeSimulation(t)
	lost := w.ledger["o/s/0"]
	w.platformDown = true
	w.advance(termDuration + 5*time.Second) // no scheduler any more
	w.workers[workerIndex(lost.Workers[0])].Restart()
	before := w.starts
	w.advance(30 * time.Minute)
	must.EqOp(t, before, w.starts)
	must.EqOp(t, 0, w.runningGeneration("o/s/0"))
	kept := 0
	for key, rec := range w.ledger {
		if !slices.Contains(rec.Workers, lost.Workers[0]) {
			must.EqOp(t, rec.Generation, w.runningGeneration(key))
			kept++
		}
	}
	must.Positive(t, kept)
	w.platformDown = false
	w.advance(time.Minute)
	must.Greater(t, 1, w.runningGeneration("o/s/0"))
}

func TestUnreachableGangRestartsAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	w := newFaultFreeSimulation(t)
	k := workerIndex(w.ledger["o/s/0"].Workers[0])
	w.linksCut[0][k], w.linksCut[1][k] = true, true
	w.advance(LeaseDuration - RenewInterval)
	must.EqOp(t, 1, w.runningGeneration("o/s/0"), must.Sprint("its lease has not lapsed"))
	w.advance(2 * time.Minute)
	again := w.runningGeneration("o/s/0")
	must.Greater(t, 1, again)
	w.linksCut[0][k], w.linksCut[1][k] = false, false
	w.advance(time.Minute)
	must.EqOp(t, again, w.runningGeneration("o/s/0"))
}

// TestGangRestartsOnlyAfterPartitionedRenewerIsFenced has a host that knows only an old ledger and still
// reaches a worker that the scheduler can not reach.
func TestGangRestartsOnlyAfterPartitionedRenewerIsFenced(t *testing.T) {
	t.Parallel()
	w := newFaultFreeSimulation(t)
	k := workerIndex(w.ledger["o/s/0"].Workers[0])
	w.hosts[1].platformCut, w.hostsPartitioned = true, true
	w.linksCut[0][k] = true
	w.advance(5 * time.Minute)
	must.EqOp(t, 1, w.runningGeneration("o/s/0"), must.Sprint("the other host goes on renewing"))
	w.hostsPartitioned = false
	w.advance(5 * time.Minute)
	must.Greater(t, 1, w.runningGeneration("o/s/0"))
}

// fixedView is a membership.Source that never changes.
type fixedView struct{ view membership.View }

func (f *fixedView) View() *membership.View { return &f.view }

// TestHostStartedDuringOutageRenewsOnlyWholeGangs has an entry host that never read
// the ledger: it keeps what the workers run, but no gang in part.
func TestHostStartedDuringOutageRenewsOnlyWholeGangs(t *testing.T) {
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
