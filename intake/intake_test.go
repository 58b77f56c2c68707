package intake_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/intake"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

var org = auth.Identity{Organisation: "org"}

// site is the store, the configuration, the host list and the clock that the entry
// hosts of a test share. It is their config.Source, membership.Source and
// election.Holder.
type site struct {
	kv    *kv.Server
	store kvstore.Store
	mu    sync.Mutex
	snap  config.Snapshot
	view  membership.View
	now   time.Time
}

func newSite(t testing.TB) *site {
	s := &site{kv: kv.New(), now: time.Unix(1_000_000, 0)}
	server := httptest.NewServer(s.kv)
	t.Cleanup(server.Close)
	s.store = kvstore.NewClient(server.URL)
	s.snap = config.Snapshot{
		Revision:      7,
		Organisations: map[string]config.Organisation{"org": {Name: "org"}},
		Services: map[string]config.Service{"svc": {Name: "svc", Organisation: "org", Team: "team",
			Jobs: []config.JobTemplate{{Name: "train", Shape: job.Shape{Tasks: 64, AcceleratorsPerTask: 8, Adjacency: job.SameRack}}}}},
		FailureDomains: map[string]config.FailureDomain{"fd1": {Name: "fd1"}, "fd2": {Name: "fd2"}},
		Retired:        map[string]uint64{},
	}
	for _, fd := range []string{"fd1", "fd2"} {
		for i := range 2 {
			s.view.Hosts = append(s.view.Hosts, kvstore.Host{Name: fmt.Sprint(fd, i), Kind: kvstore.Worker,
				FailureDomain: fd, Rack: "r", Accelerators: 8})
		}
	}
	return s
}

func (s *site) Current() (*config.Snapshot, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.snap
	return &snap, s.now
}
func (s *site) Changed() <-chan struct{}        { return nil }
func (s *site) View() *membership.View          { return &s.view }
func (s *site) Term() (uint64, time.Time, bool) { return 1, time.Now().Add(time.Hour), true }

func (s *site) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *site) advanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

func (s *site) edit(change func(*config.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.snap)
}

// entryHost returns an entry host's intake and its ledgers.
func (s *site) entryHost(domain string) (*intake.Intake, *ledger.Ledgers) {
	ledgers := ledger.New(ledger.Options{Store: s.store, WriteInterval: 20 * time.Millisecond})
	return intake.New(intake.Options{FailureDomain: domain, Ledgers: ledgers, Config: s, Membership: s,
		Election: s, Now: s.clock}), ledgers
}

// viewFrom is the site's host list with one entry host as Self.
type viewFrom struct{ view membership.View }

func (v *viewFrom) View() *membership.View { return &v.view }

// entryHosts returns the intakes of n entry hosts of one failure domain that call
// each other, and their peer servers.
func (s *site) entryHosts(t testing.TB, n int) ([]*intake.Intake, []*peer.Server) {
	var hosts []kvstore.Host
	var servers []*peer.Server
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		server := peer.NewServer(peer.Options{})
		t.Cleanup(func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }()
		servers = append(servers, server)
		hosts = append(hosts, kvstore.Host{Name: fmt.Sprint("entry", i), Kind: kvstore.EntryHost,
			FailureDomain: "fd1", PeerAddress: listener.Addr().String()})
	}
	var ins []*intake.Intake
	for i := range n {
		pool := peer.NewPool(peer.Options{})
		t.Cleanup(func() { _ = pool.Close() })
		view := &viewFrom{membership.View{Self: hosts[i], Hosts: append(slices.Clone(hosts), s.view.Hosts...)}}
		in := intake.New(intake.Options{FailureDomain: "fd1", Ledgers: ledger.New(ledger.Options{Store: s.store}),
			Config: s, Membership: view, Election: s, Now: s.clock, Peers: pool})
		must.NoError(t, in.RegisterPeer(servers[i]))
		ins = append(ins, in)
	}
	return ins, servers
}

func spec(name string) job.Spec {
	return job.Spec{ID: job.ID{Organisation: "org", Service: "svc", Name: name}, Template: "train",
		Shape: job.Shape{Tasks: 2, AcceleratorsPerTask: 8, Adjacency: job.SameRack}}
}

func TestSubmitIsIdempotentOverHosts(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	var wg sync.WaitGroup
	for i := range 6 {
		in, _ := s.entryHost([]string{"fd1", "fd2"}[i%2])
		wg.Go(func() {
			_, err := in.Submit(context.Background(), org, spec("a"))
			must.NoError(t, err)
		})
	}
	wg.Wait()
	in, ledgers := s.entryHost("fd1")
	one, err := ledgers.Jobs("fd1").ReadAll(context.Background())
	must.NoError(t, err)
	two, err := ledgers.Jobs("fd2").ReadAll(context.Background())
	must.NoError(t, err)
	must.EqOp(t, 1, len(one)+len(two))
	other := spec("a")
	other.Shape.Tasks = 1
	_, err = in.Submit(context.Background(), org, other)
	must.EqOp(t, apierr.Conflict, apierr.KindOf(err))
}

func TestSubmitRefusesWithRemedy(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	in, _ := s.entryHost("fd1")
	_, err := in.Submit(context.Background(), org, spec("early"))
	must.NoError(t, err)
	s.edit(func(c *config.Snapshot) { c.Retired = map[string]uint64{"old": 5} })
	cases := []struct {
		name   string
		change func(*job.Spec)
		kind   apierr.Kind
	}{
		{"fits nowhere", func(j *job.Spec) { j.Shape.Tasks = 9 }, apierr.Infeasible},
		{"larger than the template", func(j *job.Spec) { j.Shape.Tasks = 65 }, apierr.InvalidInput},
		{"nearer than the template", func(j *job.Spec) { j.Shape.Adjacency = job.SameWorker }, apierr.InvalidInput},
		{"no tasks", func(j *job.Spec) { j.Shape.Tasks = 0 }, apierr.InvalidInput},
		{"urgent", func(j *job.Spec) { j.Urgent = true }, apierr.InvalidInput},
		{"unknown template", func(j *job.Spec) { j.Template = "x" }, apierr.InvalidInput},
		{"unknown service", func(j *job.Spec) { j.ID.Service = "x" }, apierr.NotFound},
		{"retired service", func(j *job.Spec) { j.ID.Service = "old" }, apierr.Retired},
		{"other organisation", func(j *job.Spec) { j.ID.Organisation = "x" }, apierr.Forbidden},
		{"bad name", func(j *job.Spec) { j.ID.Name = "a/b" }, apierr.InvalidInput},
	}
	for _, c := range cases {
		bad := spec("bad")
		c.change(&bad)
		_, err := in.Submit(context.Background(), org, bad)
		must.EqOp(t, c.kind, apierr.KindOf(err), must.Sprint(c.name, ": ", err))
		must.NotEq(t, "", apierr.From(err).Remedy, must.Sprint(c.name))
	}
	s.edit(func(c *config.Snapshot) { c.Retired = map[string]uint64{"svc": 8} })
	rec, err := in.Submit(context.Background(), org, spec("early"))
	must.NoError(t, err, must.Sprint("a repeated submission returns the first job after its service is retired"))
	must.EqOp(t, "early", rec.Spec.ID.Name)
}

func TestOrganisationsSeeOnlyTheirOwnJobs(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	in, _ := s.entryHost("fd1")
	mux := http.NewServeMux()
	in.Register(mux)
	call := func(who auth.Identity, method, path, body string) (int, string) {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r.WithContext(auth.WithIdentity(r.Context(), who)))
		return w.Code, w.Body.String()
	}
	body, err := json.Marshal(spec("a"))
	must.NoError(t, err)
	code, answer := call(org, "POST", "/v1/jobs", string(body))
	must.EqOp(t, 200, code, must.Sprint(answer))
	rival := auth.Identity{Organisation: "rival"}
	for _, method := range []string{"GET", "DELETE"} {
		code, answer = call(rival, method, "/v1/jobs/org/svc/a", "")
		must.EqOp(t, 404, code, must.Sprint(answer))
	}
	_, answer = call(rival, "GET", "/v1/jobs", "")
	must.EqOp(t, `{"jobs":[]}`+"\n", answer)
	_, answer = call(org, "GET", "/v1/jobs/org/svc/a/explain", "")
	must.StrContains(t, answer, `"state":"queued"`)
	code, answer = call(org, "DELETE", "/v1/jobs/org/svc/a", "")
	must.EqOp(t, 200, code)
	must.StrContains(t, answer, "cancelled by org")
}

// Bursts of 2,000 submissions and 2,000 cancellations over 7 entry hosts must take
// at most 60 writes to the store each.
func TestBurstStaysWithinTheWriteBudget(t *testing.T) {
	t.Parallel()
	const burst, budget, hosts = 2_000, 60, 7
	s := newSite(t)
	_, ledgers := s.entryHost("fd1")
	ins, _ := s.entryHosts(t, hosts)
	writesFor := func(act func(*intake.Intake, job.Spec) error) int {
		before := s.kv.Calls()["put"]
		var wg sync.WaitGroup
		for i := range burst {
			wg.Go(func() { must.NoError(t, act(ins[i%hosts], spec(fmt.Sprint("job-", i)))) })
		}
		wg.Wait()
		return s.kv.Calls()["put"] - before
	}
	submits := writesFor(func(in *intake.Intake, j job.Spec) error {
		_, err := in.Submit(context.Background(), org, j)
		return err
	})
	cancels := writesFor(func(in *intake.Intake, j job.Spec) error {
		_, err := in.Cancel(context.Background(), org, j.ID)
		return err
	})
	t.Logf("%d submissions: %d writes; %d cancellations: %d writes; reads %v", burst, submits, burst, cancels, s.kv.Calls())
	must.LessEq(t, budget, submits)
	must.LessEq(t, budget, cancels)
	sum := 0
	for _, domain := range []string{"fd1", "fd2"} {
		records, err := ledgers.Jobs(domain).ReadAll(context.Background())
		must.NoError(t, err)
		for _, rec := range records {
			must.EqOp(t, job.Cancelled, rec.State)
		}
		sum += len(records)
	}
	must.EqOp(t, burst, sum)
}

// An entry host must write submissions itself while the writer host does not answer.
func TestSubmitFallsBackToLocalWrite(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	ins, servers := s.entryHosts(t, 2)
	for i, in := range ins {
		_, err := in.Submit(context.Background(), org, spec(fmt.Sprint("before-", i)))
		must.NoError(t, err)
	}
	for _, server := range servers {
		must.NoError(t, server.Close())
	}
	for i, in := range ins {
		_, err := in.Submit(context.Background(), org, spec(fmt.Sprint("after-", i)))
		must.NoError(t, err)
	}
	jobs, err := ins[0].List(context.Background(), org, job.Queued)
	must.NoError(t, err)
	must.Len(t, 4, jobs)
}

func TestQueuedJobsAreMovedWhenFailureDomainIsOutOfService(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.edit(func(c *config.Snapshot) { c.FailureDomains["fd2"] = config.FailureDomain{Name: "fd2", Out: true} })
	in, ledgers := s.entryHost("fd1")
	ctx := context.Background()
	for _, name := range []string{"waits", "runs", "pinned"} {
		j := spec(name)
		if name == "pinned" {
			j.FailureDomain = "fd1"
		}
		_, err := in.Submit(ctx, org, j)
		must.NoError(t, err)
	}
	placed := spec("runs").ID.String()
	_, err := ledgers.Jobs("fd1").Update(ctx, placed, func(old job.Record, _ bool) (job.Record, bool, error) {
		old.SetState(job.Placed, "", s.clock())
		return old, true, nil
	})
	must.NoError(t, err)
	s.edit(func(c *config.Snapshot) {
		c.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1", Out: true}, "fd2": {Name: "fd2"}}
	})
	other, _ := s.entryHost("fd2")
	other.Maintain(ctx)
	_, found, err := ledgers.Jobs("fd2").Read(ctx, spec("waits").ID.String())
	must.NoError(t, err)
	must.False(t, found, must.Sprint("start permits have not lapsed yet"))
	s.advanceClock(10 * time.Second)
	other.Maintain(ctx)
	other.Maintain(ctx)

	moved, err := ledgers.Jobs("fd2").ReadAll(ctx)
	must.NoError(t, err)
	must.Len(t, 1, recordNames(moved))
	must.EqOp(t, job.Queued, moved[spec("waits").ID.String()].State)
	rec, err := in.Submit(ctx, org, spec("waits"))
	must.NoError(t, err, must.Sprint("a repeated submission returns the moved job"))
	must.EqOp(t, 1, rec.Moves)
	left, err := ledgers.Jobs("fd1").ReadAll(ctx)
	must.NoError(t, err)
	must.EqOp(t, job.Moved, left[spec("waits").ID.String()].State)
	must.EqOp(t, job.Placed, left[placed].State)
	must.EqOp(t, job.Queued, left[spec("pinned").ID.String()].State)

	// The job moves back to fd1, where the moved record of its first move is replaced.
	s.edit(func(c *config.Snapshot) {
		c.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1"}, "fd2": {Name: "fd2", Out: true}}
	})
	in.Maintain(ctx)
	s.advanceClock(10 * time.Second)
	in.Maintain(ctx)
	rec, err = in.Find(ctx, org, spec("waits").ID)
	must.NoError(t, err)
	must.EqOp(t, 2, rec.Moves)
	must.EqOp(t, job.Queued, rec.State)
}

func recordNames(records map[string]job.Record) []string {
	var out []string
	for name := range records {
		out = append(out, name)
	}
	return out
}

func TestEndedJobsArePruned(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.edit(func(c *config.Snapshot) { delete(c.FailureDomains, "fd2") })
	in, ledgers := s.entryHost("fd1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, name := range []string{"ends", "waits"} {
		_, err := in.Submit(ctx, org, spec(name))
		must.NoError(t, err)
	}
	_, err := in.Cancel(ctx, org, spec("ends").ID)
	must.NoError(t, err)
	_, err = ledgers.Jobs("fd1").ReadAll(ctx)
	must.NoError(t, err)
	in.Maintain(ctx)
	_, err = in.Find(ctx, org, spec("ends").ID)
	must.NoError(t, err, must.Sprint("kept until the retention has passed"))
	s.advanceClock(intake.DefaultRetention + time.Second)
	in.Maintain(ctx)
	records, err := ledgers.Jobs("fd1").ReadAll(ctx)
	must.NoError(t, err)
	must.Eq(t, []string{spec("waits").ID.String()}, recordNames(records))
	_, err = in.Find(ctx, org, spec("ends").ID)
	must.EqOp(t, apierr.NotFound, apierr.KindOf(err))
}
