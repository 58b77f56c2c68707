package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const stopSpacing = 400 * time.Millisecond // between the SIGTERMs of two hosts

// checkStopsInCalm has all hosts told to stop, one soon after the other, while requests go on
// on open connections. Nothing else happens then. The hosts must answer what they have read,
// and a job that is submitted afterwards must end.
func (r *soakRun) checkStopsInCalm(ctx context.Context) {
	sleep(ctx, contactTime)
	clientsCtx, leave := context.WithCancel(ctx)
	var clients sync.WaitGroup
	clients.Go(func() { r.keepConnections(clientsCtx) })
	sleep(ctx, time.Second)
	for _, h := range r.deployment.hosts {
		h.signal(syscall.SIGTERM)
		sleep(ctx, stopSpacing)
	}
	sleep(ctx, gracePeriod+restartDelay)
	leave()
	clients.Wait()
	r.checkJobEnds(ctx, "all hosts were told to stop")()
}

const (
	seriesTime    = 4 * time.Second
	maxSeriesGap  = 120 * time.Millisecond  // between two signals
	maxSeriesHold = 1500 * time.Millisecond // until a pause, a crash or an evacuation of the series ends
	seriesPause   = 3 * time.Second         // after a series
	changeOdds    = 3                       // after one signal in changeOdds something else changes
)

// seriesSignals are sent to hosts in series; a host that was stopped goes on later.
var seriesSignals = []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGHUP}

// seriesChanges are made between the signals.
var seriesChanges = []func(r *soakRun, rng *rand.Rand) (end func()){
	func(r *soakRun, _ *rand.Rand) func() { r.writeConfiguration(); return noop },
	func(r *soakRun, rng *rand.Rand) func() { return evacuate(r.deployment, rng) },
	func(r *soakRun, rng *rand.Rand) func() { return onRunner(crashRunner)(r.deployment, rng) },
}

// runSeries sends signals to all hosts in turn, one soon after the other, and meanwhile writes
// configurations, evacuates failure domains and returns them, and restarts runners. Each may
// begin before the ones before it have ended or taken effect. Then nothing happens for a while.
func (r *soakRun) runSeries(ctx context.Context, rng *rand.Rand) {
	hosts := r.deployment.hosts
	order := rng.Perm(len(hosts))
	var ends sync.WaitGroup
	endLater := func(end func()) {
		hold := time.Duration(rng.Int64N(int64(maxSeriesHold)))
		ends.Go(func() { sleep(ctx, hold); end() })
	}
	limit := time.Now().Add(seriesTime)
	for i := 0; time.Now().Before(limit) && ctx.Err() == nil; i++ {
		h := hosts[order[i%len(order)]]
		s := seriesSignals[rng.IntN(len(seriesSignals))]
		h.signal(s)
		if s == syscall.SIGSTOP {
			endLater(func() { h.signal(syscall.SIGCONT) })
		}
		if rng.IntN(changeOdds) == 0 {
			endLater(seriesChanges[rng.IntN(len(seriesChanges))](r, rng))
		}
		sleep(ctx, time.Duration(rng.Int64N(int64(maxSeriesGap))))
	}
	ends.Wait()
	sleep(ctx, seriesPause)
}
