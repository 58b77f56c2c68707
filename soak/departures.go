package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

const (
	minDepartureTime = 10 * time.Second // for how long rounds of departures begin
	maxDepartureTime = 20 * time.Second
	maxDrainLead     = 5 * time.Second        // from a restart to the announcement of the departure
	maxStay          = 15 * time.Second       // beyond drainTime, of runners that leave late
	maxExitTime      = 300 * time.Millisecond // beyond drainTime, of the others
	maxAbsence       = 2 * time.Second        // from a departure to the restart under the id
	maxDisturbLead   = 4 * time.Second        // from the beginning of a round to a cut, or to signals
)

// roundEvents happen beside the departures of a round.
var roundEvents = []func(r *soakRun, ctx context.Context, runners []*proxiedRunner, rng *rand.Rand){
	(*soakRun).cutLinks,
	(*soakRun).disturbLeaders,
	func(r *soakRun, ctx context.Context, _ []*proxiedRunner, rng *rand.Rand) { r.runSeries(ctx, rng) },
}

// drainAfterRestarts restarts runners in rounds. Soon after, they announce that they drain, leave at
// the end of the announced time or much later, and come back under their ids. Meanwhile links are
// cut, leaders end, or hosts get signals in series. Long and short tasks and gangs run.
func (r *soakRun) drainAfterRestarts(ctx context.Context, rng *rand.Rand) {
	affected := r.drawRunners(rng)
	var events sync.WaitGroup
	begin := func(f func(*rand.Rand)) {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		events.Go(func() { f(own) })
	}
	limit := time.Now().Add(minDepartureTime + randomTime(rng, maxDepartureTime-minDepartureTime))
	for time.Now().Before(limit) && ctx.Err() == nil {
		begin(func(own *rand.Rand) { r.submitMixedTasks(ctx, own) })
		event := roundEvents[rng.IntN(len(roundEvents))]
		begin(func(own *rand.Rand) {
			sleep(ctx, randomTime(own, maxDisturbLead))
			event(r, ctx, drawAffected(affected, own), own)
		})
		r.restartInSeries(ctx, affected, rng)
		begin(func(own *rand.Rand) { r.submitMixedTasks(ctx, own) })
		var departures sync.WaitGroup
		for _, o := range drawAffected(affected, rng) {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			departures.Go(func() { r.drainAndReturn(ctx, o, own) })
		}
		departures.Wait()
	}
	events.Wait()
}

// drainAndReturn has a runner announce that it drains, leave and come back under its id, unless it
// restarts meanwhile.
func (r *soakRun) drainAndReturn(ctx context.Context, o *proxiedRunner, rng *rand.Rand) {
	d := r.deployment
	sleep(ctx, randomTime(rng, maxDrainLead))
	if err := d.announceDrain(o); err != nil {
		r.opts.Log("entry not written: " + err.Error())
		return
	}
	born := d.bornOf(o)
	stay := drainTime + randomTime(rng, maxExitTime)
	if rng.IntN(2) == 0 {
		stay += randomTime(rng, maxStay)
	}
	sleep(ctx, stay)
	if !d.leave(o, born) {
		return
	}
	sleep(ctx, randomTime(rng, maxAbsence))
	d.rebootRunner(o)
}

func (d *deployment) bornOf(r *proxiedRunner) (born int64) {
	d.runnerServer.WithPool(func(_ steady.Time, p *runner.Pool) { born = p.Runner(r.id).Born })
	return born
}

// leave has an incarnation of a runner leave. It returns false if the runner has restarted or is
// down.
func (d *deployment) leave(r *proxiedRunner, born int64) bool {
	d.lives.Lock()
	defer d.lives.Unlock()
	d.mu.Lock()
	drains := r.draining
	d.mu.Unlock()
	if !drains || d.bornOf(r) != born {
		return false
	}
	d.log("leaves: " + r.id)
	d.runnerServer.WithPool(func(now steady.Time, p *runner.Pool) { p.Crash(now, r.id) })
	d.setRunnerState(r, true, false)
	d.deleteKey(platform.RunnerPrefix + r.id)
	return true
}
