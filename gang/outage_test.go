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

// newFaultFreeSimulation returns a simulation without random faults, in which the
// first host holds the term.
func newFaultFreeSimulation(t *testing.T) *simulation {
	sim := newSimulation(t, 1)
	sim.faultFree = true
	sim.runTime = time.Hour
	sim.hosts[1].platformCut = true
	sim.advance(3 * time.Second)
	sim.hosts[1].platformCut = false
	sim.advance(2 * time.Second)
	return sim
}

// runningGeneration returns the job's generation that runs; 0: none.
func (sim *simulation) runningGeneration(key string) uint64 {
	for _, s := range sim.workers {
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
	sim := newFaultFreeSimulation(t)
	lost := sim.ledger["o/s/0"]
	sim.platformDown = true
	sim.advance(termDuration + 5*time.Second) // the term has ended, so that no host schedules
	sim.workers[workerIndex(lost.Workers[0])].Restart()
	before := sim.starts
	sim.advance(30 * time.Minute)
	must.EqOp(t, before, sim.starts)
	must.EqOp(t, 0, sim.runningGeneration("o/s/0"))
	unaffected := 0
	for key, rec := range sim.ledger {
		if !slices.Contains(rec.Workers, lost.Workers[0]) {
			must.EqOp(t, rec.Generation, sim.runningGeneration(key))
			unaffected++
		}
	}
	must.Positive(t, unaffected)
	sim.platformDown = false
	sim.advance(time.Minute)
	must.Greater(t, 1, sim.runningGeneration("o/s/0"))
}

func TestUnreachableGangRestartsAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	sim := newFaultFreeSimulation(t)
	k := workerIndex(sim.ledger["o/s/0"].Workers[0])
	sim.linksCut[0][k], sim.linksCut[1][k] = true, true
	sim.advance(LeaseDuration - RenewInterval)
	must.EqOp(t, 1, sim.runningGeneration("o/s/0"), must.Sprint("its lease has not expired"))
	sim.advance(2 * time.Minute)
	restarted := sim.runningGeneration("o/s/0")
	must.Greater(t, 1, restarted)
	sim.linksCut[0][k], sim.linksCut[1][k] = false, false
	sim.advance(time.Minute)
	must.EqOp(t, restarted, sim.runningGeneration("o/s/0"))
}

// TestGangRestartsOnlyAfterPartitionedRenewerIsFenced guards against two running
// generations: a host that reads only an old ledger can still renew on a worker
// that the scheduler cannot reach, so the scheduler must fence that host first.
func TestGangRestartsOnlyAfterPartitionedRenewerIsFenced(t *testing.T) {
	t.Parallel()
	sim := newFaultFreeSimulation(t)
	k := workerIndex(sim.ledger["o/s/0"].Workers[0])
	sim.hosts[1].platformCut, sim.hostsPartitioned = true, true
	sim.linksCut[0][k] = true
	sim.advance(5 * time.Minute)
	must.EqOp(t, 1, sim.runningGeneration("o/s/0"), must.Sprint("the other host still renews its lease"))
	sim.hostsPartitioned = false
	sim.advance(5 * time.Minute)
	must.Greater(t, 1, sim.runningGeneration("o/s/0"))
}

// fixedView is a membership.Source that never changes.
type fixedView struct{ view membership.View }

func (f *fixedView) View() *membership.View { return &f.view }

// TestHostStartedDuringOutageRenewsOnlyWholeGangs starts an entry host that never
// read the ledger. It must renew the gangs that the workers list, except those of
// which only some tasks run.
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
