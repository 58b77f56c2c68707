package intake_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/intake"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
)

// pullingHost returns the intake of a host whose scheduler can start the named jobs
// at once.
func (s *site) pullingHost(t *testing.T, domain string, names ...string) *intake.Intake {
	ledgers := ledger.New(ledger.Options{Store: s.store, WriteInterval: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = ledgers.Run(ctx, domain) }()
	return intake.New(intake.Options{
		FailureDomain: domain, Ledgers: ledgers, Config: s, Membership: s, Election: s, Now: s.clock,
		SelectStartable: func(_ context.Context, records []job.Record) []job.ID {
			var startable []job.ID
			for _, rec := range records {
				for _, name := range names {
					if rec.Spec.ID.Name == name {
						startable = append(startable, rec.Spec.ID)
					}
				}
			}
			return startable
		},
	})
}

// A failure domain that can start queued jobs of others pulls them, except jobs
// pinned to a failure domain and jobs moved within the last 10 minutes. A failure
// domain that is out of service pulls none.
func TestFailureDomainPullsJobsItCanStart(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	ctx := context.Background()
	s.edit(func(c *config.Snapshot) { c.FailureDomains["fd2"] = config.FailureDomain{Name: "fd2", Out: true} })
	in, ledgers := s.entryHost("fd1")
	pinned := spec("pinned")
	pinned.FailureDomain = "fd1"
	for _, sp := range []job.Spec{spec("waits"), spec("stays"), pinned} {
		_, err := in.Submit(ctx, org, sp)
		must.NoError(t, err)
	}
	queuedIn := func(domain string) []string {
		records, err := ledgers.Jobs(domain).ReadAll(ctx)
		must.NoError(t, err)
		for key, rec := range records {
			if rec.State != job.Queued {
				delete(records, key)
			}
		}
		return slices.Sorted(maps.Keys(records))
	}
	all := []string{"org/svc/pinned", "org/svc/stays", "org/svc/waits"}
	other := s.pullingHost(t, "fd2", "waits", "pinned")
	for range 20 {
		s.advanceClock(time.Minute)
		other.Maintain(ctx)
		must.Eq(t, all, queuedIn("fd1"), must.Sprint("fd2 is out of service"))
		time.Sleep(10 * time.Millisecond) // lets Run read the ledger of fd2
	}

	s.edit(func(c *config.Snapshot) {
		c.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1"}, "fd2": {Name: "fd2"}}
	})
	maintainUntil := func(in *intake.Intake, step time.Duration, domain string, jobs []string) {
		for deadline := time.Now().Add(20 * time.Second); !slices.Equal(queuedIn(domain), jobs); time.Sleep(10 * time.Millisecond) {
			must.True(t, time.Now().Before(deadline), must.Sprint("gave up waiting for ", jobs, " in ", domain))
			s.advanceClock(step)
			in.Maintain(ctx)
		}
	}
	maintainUntil(other, time.Second, "fd2", all[2:])
	movedAt := s.clock()
	must.Eq(t, all[:2], queuedIn("fd1"))
	rec, err := in.Find(ctx, org, spec("waits").ID)
	must.NoError(t, err)
	must.EqOp(t, "fd2", rec.FailureDomain)

	for _, sp := range []job.Spec{spec("stays"), pinned} {
		_, err := in.Cancel(ctx, org, sp.ID)
		must.NoError(t, err)
	}
	maintainUntil(s.pullingHost(t, "fd1", "waits"), 15*time.Second, "fd1", all[2:])
	must.GreaterEq(t, 10*time.Minute, s.clock().Sub(movedAt))
}
