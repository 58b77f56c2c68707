package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

const (
	minEventTime   = 6 * time.Second // for how long events begin
	maxEventTime   = 16 * time.Second
	minEventGap    = time.Second // limits of the time between the beginnings of two events
	maxEventGap    = 6 * time.Second
	maxLead        = 1500 * time.Millisecond // from a submission to the next event, so that starts are under way then
	aroundCut      = 3 * time.Second         // between the beginnings of a cut and of restarts around it
	minLateShare   = 5                       // of 100 orders of one kind
	maxLateShare   = 50
	maxRestarts    = 3 // in one series
	maxDarkTime    = 1500 * time.Millisecond
	maxRestartGap  = 3 * time.Second // between two restarts of a series
	minCutTime     = 500 * time.Millisecond
	maxLeaveTime   = 6 * time.Second // from the announcement of a drain to the departure
	maxLeaderEnds  = 3               // in one series
	maxLeaderGap   = 4 * time.Second
	singlesOdds    = 3 // once in singlesOdds, single runners are affected and not a failure domain
	maxSingles     = 3
	firstJobs      = 3 // before the first event
	tasksPerRunner = 2 // of each job that isn't a gang
	minMixedWork   = 200 * time.Millisecond
	maxShortWork   = 2 * time.Second
	maxLongWork    = 14 * time.Second
	gangOdds       = 3 // one job in gangOdds is a gang
	maxMixedGang   = 5
)

// runnerEvents happen to runners while orders to them are late. Each ends what it has begun.
// Those that are named more often are drawn more often.
var runnerEvents = []func(r *soakRun, ctx context.Context, runners []*proxiedRunner, rng *rand.Rand){
	(*soakRun).restartAroundCut, (*soakRun).restartAroundCut, (*soakRun).restartAroundCut, (*soakRun).restartAroundCut,
	(*soakRun).restartInSeries, (*soakRun).restartInSeries,
	(*soakRun).cutLinks,
	(*soakRun).letLeave,
	(*soakRun).disturbLeaders, (*soakRun).disturbLeaders,
}

// restartAmongLateOrders has runners carry out shares of their starts, stops and holds late,
// and meanwhile restarts them, cuts their links, has them leave and ends leaders. Each event
// may begin before the ones before it have ended. Long and short tasks and gangs run.
func (r *soakRun) restartAmongLateOrders(ctx context.Context, rng *rand.Rand) {
	affected := r.drawRunners(rng)
	var events sync.WaitGroup
	begin := func(f func(*rand.Rand)) {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		events.Go(func() { f(own) })
	}
	submit := func() { begin(func(own *rand.Rand) { r.submitMixedTasks(ctx, own) }) }
	for range firstJobs {
		submit()
	}
	sleep(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
	shares := make(map[string]int)
	for _, path := range []string{platform.StartPath, platform.StopPath, platform.HoldPath} {
		shares[path] = minLateShare + rng.IntN(maxLateShare-minLateShare+1)
	}
	r.makeSharesLate(affected, shares, rng.Uint64())
	gap := minEventGap + randomTime(rng, maxEventGap-minEventGap)
	limit := time.Now().Add(minEventTime + randomTime(rng, maxEventTime-minEventTime))
	for time.Now().Before(limit) && ctx.Err() == nil {
		event := runnerEvents[rng.IntN(len(runnerEvents))]
		submit()
		sleep(ctx, randomTime(rng, maxLead))
		begin(func(own *rand.Rand) { event(r, ctx, drawAffected(affected, own), own) })
		sleep(ctx, randomTime(rng, gap))
	}
	events.Wait()
	r.makeSharesLate(affected, nil, 0)
}

func randomTime(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// drawRunners returns the runners of one failure domain, or a few single ones.
func (r *soakRun) drawRunners(rng *rand.Rand) []*proxiedRunner {
	if rng.IntN(singlesOdds) != 0 {
		return r.runnersOfRandomDomain(rng)
	}
	return drawSome(r.deployment.runners, 1+rng.IntN(maxSingles), rng)
}

// drawSome returns n of the runners, or all.
func drawSome(runners []*proxiedRunner, n int, rng *rand.Rand) []*proxiedRunner {
	var out []*proxiedRunner
	for _, i := range rng.Perm(len(runners)) {
		if len(out) < n {
			out = append(out, runners[i])
		}
	}
	return out
}

// drawAffected returns all of the runners or some.
func drawAffected(runners []*proxiedRunner, rng *rand.Rand) []*proxiedRunner {
	if rng.IntN(2) == 0 {
		return runners
	}
	return drawSome(runners, 1+rng.IntN(len(runners)), rng)
}

// submitMixedTasks submits a job of long or short tasks, some for each runner, or of a gang.
func (r *soakRun) submitMixedTasks(ctx context.Context, rng *rand.Rand) {
	task := runner.Task{Work: minMixedWork + randomTime(rng, maxShortWork), Request: batch.Resources{MilliCPU: 1000, Accelerators: 1}}
	if rng.IntN(2) == 0 {
		task.Work = minMixedWork + randomTime(rng, maxLongWork)
	}
	step := batch.Step{Tasks: tasksPerRunner * len(r.deployment.runners), Request: task.Request, Estimate: task.Work}
	if rng.IntN(gangOdds) == 0 {
		task.GangSize = 2 + rng.IntN(maxMixedGang-1)
		step.Tasks, step.Gang = task.GangSize, true
	}
	r.submitStep(ctx, task, step)
}

// makeSharesLate has shares of the calls to the runners carried out late, in percent by path.
func (r *soakRun) makeSharesLate(runners []*proxiedRunner, shares map[string]int, seed uint64) {
	for i, o := range runners {
		lateness := rand.New(rand.NewPCG(seed, uint64(i)))
		r.deployment.setOrdersLate(o, func(path string) time.Duration {
			if lateness.IntN(100) >= shares[path] {
				return 0
			}
			return 1 + randomTime(lateness, maxLateOrder)
		})
	}
}

// restartInSeries restarts runners under their ids, once or several times.
func (r *soakRun) restartInSeries(ctx context.Context, runners []*proxiedRunner, rng *rand.Rand) {
	restarts := 1
	if rng.IntN(2) == 0 {
		restarts += rng.IntN(maxRestarts)
	}
	for i := range restarts {
		if i > 0 {
			sleep(ctx, randomTime(rng, maxRestartGap))
		}
		dark := rng.IntN(2) == 0 // nothing arrives meanwhile, or connections are answered by nobody
		for _, o := range runners {
			if dark {
				r.deployment.holdBack(o, bothWays, true, resumeWithin)
			}
			crashRunner(r.deployment, o, rng)
		}
		sleep(ctx, randomTime(rng, maxDarkTime))
		announce := rng.IntN(2) == 0 // before the next heartbeat
		for _, o := range runners {
			r.deployment.rebootRunner(o)
			if announce {
				if err := r.deployment.writeRunnerEntry(o); err != nil {
					r.opts.Log("entry not written: " + err.Error())
				}
			}
			if dark {
				r.deployment.holdBack(o, bothWays, false, resumeWithin)
			}
		}
	}
}

var (
	bothWays = []faultproxy.Direction{faultproxy.ClientToTarget, faultproxy.TargetToClient}
	cutWays  = [][]faultproxy.Direction{bothWays, bothWays, {faultproxy.ClientToTarget}, {faultproxy.TargetToClient}}
)

// cutLinks cuts the links of runners in both directions or one. What was sent meanwhile arrives
// after the cut, on all connections at once or on one by one.
func (r *soakRun) cutLinks(ctx context.Context, runners []*proxiedRunner, rng *rand.Rand) {
	directions := cutWays[rng.IntN(len(cutWays))]
	resume := resumeWithin * time.Duration(rng.IntN(2))
	silent := len(directions) == len(bothWays)
	keepsNew := silent && rng.IntN(2) == 0
	set := func(on bool) {
		for _, o := range runners {
			r.deployment.holdBack(o, directions, on, resume)
			if keepsNew {
				o.proxy.FreezeNewConnections(on)
			}
			if silent {
				r.deployment.setRunnerDown(o, on) // its heartbeats stop meanwhile
			}
		}
	}
	set(true)
	sleep(ctx, minCutTime+randomTime(rng, cutTime))
	set(false)
}

// restartAroundCut restarts runners before, during or after a cut of their links.
func (r *soakRun) restartAroundCut(ctx context.Context, runners []*proxiedRunner, rng *rand.Rand) {
	events := []func(*soakRun, context.Context, []*proxiedRunner, *rand.Rand){(*soakRun).restartInSeries, (*soakRun).cutLinks}
	var both sync.WaitGroup
	for _, i := range rng.Perm(len(events)) {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		both.Go(func() { events[i](r, ctx, runners, own) })
		sleep(ctx, randomTime(rng, aroundCut))
	}
	both.Wait()
}

// holdBack keeps the bytes from or to a runner, or forwards them once nothing else keeps them.
func (d *deployment) holdBack(r *proxiedRunner, directions []faultproxy.Direction, on bool, resume time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, direction := range directions {
		if on {
			r.stalls[direction]++
		} else {
			r.stalls[direction]--
		}
		r.proxy.SetFault(direction, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Stall: r.stalls[direction] > 0, ResumeWithin: resume})
	}
}

// letLeave has runners leave, and return under their ids.
func (r *soakRun) letLeave(ctx context.Context, runners []*proxiedRunner, rng *rand.Rand) {
	var ends []func()
	for _, o := range runners {
		ends = append(ends, drainRunner(r.deployment, o, rng))
	}
	sleep(ctx, randomTime(rng, maxLeaveTime))
	for _, end := range ends {
		end()
	}
}

// disturbLeaders kills, stops or pauses each of some leaders, one after the other.
func (r *soakRun) disturbLeaders(ctx context.Context, _ []*proxiedRunner, rng *rand.Rand) {
	for range 1 + rng.IntN(maxLeaderEnds) {
		h := r.deployment.leader()
		s := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP}[rng.IntN(3)]
		if h != nil {
			h.signal(s)
		}
		sleep(ctx, randomTime(rng, maxLeaderGap))
		if h != nil && s == syscall.SIGSTOP {
			h.signal(syscall.SIGCONT)
		}
	}
}
