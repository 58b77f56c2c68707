package gang_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/gang"
	"github.com/cyclamentray/cyclamentray/intake"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// TestGangMovesFromFailureDomainTakenOutOfService takes the failure domain of a
// running gang out of service. The gang must stop there, move and run in the other
// failure domain.
func TestGangMovesFromFailureDomainTakenOutOfService(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	for i := range c.view.view.Hosts {
		if h := &c.view.view.Hosts[i]; h.Kind == kvstore.Worker && h.Name >= "w2" {
			h.FailureDomain = "fd2"
		}
	}
	// fd1Out returns an edit that takes fd1 (true) or fd2 (false) out of service and
	// brings the other one in.
	fd1Out := func(out bool) func(*config.Snapshot) {
		return func(s *config.Snapshot) {
			s.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1", Out: out}, "fd2": {Name: "fd2", Out: !out}}
		}
	}
	c.config.edit(fd1Out(false))
	one := c.startEntryHost(1, nil)
	c.startSecondEntryHost()
	s := spec("a", 2)
	s.Checkpoint = true
	c.failOnTwoGenerations(s)
	c.submit(one, s)
	c.waitForState(one, s, job.Running)

	c.config.edit(fd1Out(true))
	waitUntil(t, "the gang runs in the other failure domain", func() bool {
		rec, err := one.intake.Find(context.Background(), org, s.ID)
		return err == nil && rec.State == job.Running && rec.Moves == 1
	})
	rec := c.waitForState(one, s, job.Running)
	must.SliceContainsAll(t, []string{"w2", "w3"}, rec.Workers)
	must.Eq(t, map[uint64]int{2: 2}, c.runningTasks(s))
	must.False(t, rec.Checkpointed.IsZero())
}

// startSecondEntryHost starts an entry host that schedules fd2 and moves queued jobs
// there.
func (c *cluster) startSecondEntryHost() {
	term := &fakeTerm{term: 7}
	ledgers := ledger.New(ledger.Options{Store: c.client, WriteInterval: 5 * time.Millisecond})
	in := intake.New(intake.Options{FailureDomain: "fd2", Ledgers: ledgers, Config: c.config, Membership: c.view, Election: term})
	g := gang.New(gang.Options{FailureDomain: "fd2", Ledger: ledgers.Jobs("fd2"), Config: c.config, Membership: c.view, Election: term})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = ledgers.Run(ctx, "fd2") })
	wg.Go(func() { _ = g.Run(ctx) })
	wg.Go(func() { _ = in.Run(ctx) })
	c.t.Cleanup(func() { cancel(); wg.Wait() })
}
