package intake

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/placement"
)

// candidate is a failure domain that could take a job.
type candidate struct {
	name       string
	guaranteed bool    // the organisation holds a guarantee there
	local      bool    // this host's own failure domain
	load       float64 // requested accelerators divided by available ones
}

// betterThan reports whether c is preferred to d: a candidate with a guarantee
// first, then the less loaded one, then the local one, then the first by name.
func (c candidate) betterThan(d candidate) bool {
	if c.guaranteed != d.guaranteed {
		return c.guaranteed
	}
	if c.load != d.load {
		return c.load < d.load
	}
	if c.local != d.local {
		return c.local
	}
	return c.name < d.name
}

// chooseDomain returns the failure domain for a job. Its workers must be able to
// hold the shape. Among those it prefers failure domains in service that have a
// scheduler, then those where the organisation has a guarantee, then the least
// loaded.
func (in *Intake) chooseDomain(ctx context.Context, snap *config.Snapshot, rec job.Record) (string, error) {
	var fitting []candidate
	refusal := apierr.New(apierr.Infeasible, "no failure domain is configured", "have an operator apply one")
	for _, name := range permittedDomains(snap, rec.Spec) {
		ok, reason, remedy := placement.Feasible(in.workers(name), rec.Spec.Shape)
		if !ok {
			refusal = apierr.New(apierr.Infeasible, "the shape fits nowhere: "+reason, remedy)
			continue
		}
		fitting = append(fitting, candidate{name: name, local: name == in.o.FailureDomain,
			guaranteed: guaranteedIn(snap, rec.Spec.ID.Organisation, name)})
	}
	if len(fitting) == 0 {
		return "", refusal
	}
	return in.bestCandidate(ctx, snap, rec, fitting)
}

// permittedDomains returns the names of the failure domains that a spec permits.
func permittedDomains(snap *config.Snapshot, spec job.Spec) []string {
	var out []string
	for name := range snap.FailureDomains {
		if spec.FailureDomain == "" || spec.FailureDomain == name {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// bestCandidate returns the best of the failure domains that start jobs at
// present. When none does, it returns the best of all, and the job waits there. It
// adds the job to the cached load of the failure domain that it returns.
func (in *Intake) bestCandidate(ctx context.Context, snap *config.Snapshot, rec job.Record, fitting []candidate) (string, error) {
	var usable []candidate
	for _, c := range fitting {
		if !snap.FailureDomains[c.name].Out && in.o.HasScheduler(c.name) {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		usable = fitting
	}
	for i := range usable {
		if len(usable) > 1 {
			usable[i].load = in.loads.ratio(ctx, usable[i].name, in.capacity(usable[i].name))
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].betterThan(usable[j]) })
	in.loads.addJob(usable[0].name, rec.Spec.Shape.Accelerators())
	return usable[0].name, nil
}

func guaranteedIn(snap *config.Snapshot, organisation, domain string) bool {
	for _, g := range snap.Organisations[organisation].Guarantees {
		if g.FailureDomain == domain {
			return true
		}
	}
	return false
}

func (in *Intake) workers(domain string) []placement.Worker {
	var out []placement.Worker
	for _, h := range in.o.Membership.View().Workers(domain) {
		out = append(out, placement.Worker{Name: h.Name, Rack: h.Rack, Accelerators: h.Accelerators})
	}
	return out
}

// capacity returns the number of accelerators of a failure domain's workers.
func (in *Intake) capacity(domain string) int {
	sum := 0
	for _, w := range in.workers(domain) {
		sum += w.Accelerators
	}
	return sum
}

// maxLoadAge is how long a load that was read is used before it is read again.
const maxLoadAge = 10 * time.Second

// load is the number of accelerators that a failure domain's jobs request.
type load struct {
	accelerators int
	readAt       time.Time
}

// loadCache caches the load of each failure domain. It is safe for concurrent use.
type loadCache struct {
	o        Options
	mu       sync.Mutex
	byDomain map[string]*load
	readMu   sync.Mutex // held during a refresh, so that concurrent callers use one refresh
}

func newLoadCache(o Options) *loadCache { return &loadCache{o: o, byDomain: make(map[string]*load)} }

// ratio returns a failure domain's load divided by its capacity. If its ledger
// cannot be read, ratio uses the last known load, as the load only decides which
// failure domain is preferred.
func (l *loadCache) ratio(ctx context.Context, domain string, capacity int) float64 {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	now := l.o.Now()
	l.mu.Lock()
	cached := l.byDomain[domain]
	stale := cached == nil || now.Sub(cached.readAt) >= maxLoadAge
	l.mu.Unlock()
	if stale {
		l.refresh(ctx, domain, now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cached = l.byDomain[domain]
	if cached == nil || capacity == 0 {
		return 0
	}
	return float64(cached.accelerators) / float64(capacity)
}

// refresh reads a failure domain's load from its ledger. If the read fails, the last
// known load is used for another maxLoadAge.
func (l *loadCache) refresh(ctx context.Context, domain string, now time.Time) {
	records, err := l.records(ctx, domain)
	l.mu.Lock()
	defer l.mu.Unlock()
	cached := l.byDomain[domain]
	if cached == nil {
		cached = &load{}
		l.byDomain[domain] = cached
	}
	cached.readAt = now
	if err != nil {
		return
	}
	cached.accelerators = 0
	for _, r := range records {
		if !r.State.Terminal() && r.State != job.Moved {
			cached.accelerators += r.Spec.Shape.Accelerators()
		}
	}
}

// records returns a failure domain's jobs, for the local one from the snapshot if
// that is complete.
func (l *loadCache) records(ctx context.Context, domain string) (map[string]job.Record, error) {
	jobs := l.o.Ledgers.Jobs(domain)
	if records, _, complete := jobs.Snapshot(); complete && domain == l.o.FailureDomain {
		return records, nil
	}
	return jobs.ReadAll(ctx)
}

// addJob adds a job that was just assigned to a failure domain to its load.
func (l *loadCache) addJob(domain string, accelerators int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cached := l.byDomain[domain]; cached != nil {
		cached.accelerators += accelerators
	}
}
