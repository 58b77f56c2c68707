package soak

import (
	"context"
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
