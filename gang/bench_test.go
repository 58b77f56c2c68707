package gang

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/placement"
	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/telemetry"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Size of one of 8 failure domains that together have 970 workers and run 9,000
// tasks.
const (
	benchWorkers        = 121  // 970 / 8
	benchTasks          = 1125 // 9,000 / 8
	benchHosts          = 7
	benchWorkersPerRack = 6
	benchQueuedJobs     = 250
)

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// benchDomain is a failure domain's state without a scheduler loop. It is also the
// configuration, membership and election source.
type benchDomain struct {
	config.Source
	snap         config.Snapshot
	view         membership.View
	jobs         *ledger.Jobs
	bytes        atomic.Int64
	workerCaller *HTTPWorkerCaller
}

func (d *benchDomain) Current() (*config.Snapshot, time.Time) { return &d.snap, time.Now() }
func (d *benchDomain) View() *membership.View                 { return &d.view }
func (d *benchDomain) Term() (uint64, time.Time, bool) {
	return 1, time.Now().Add(time.Hour), true
}

// newBenchDomain starts workers that run benchTasks tasks in gangs of the
// given size, each gang within one rack.
func newBenchDomain(b *testing.B, gangTasks int) *benchDomain {
	d := &benchDomain{}
	d.snap.FailureDomains = map[string]config.FailureDomain{"fd1": {Name: "fd1"}}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerWorker}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &d.bytes}, err
	}
	d.workerCaller = &HTTPWorkerCaller{client: &http.Client{Transport: telemetry.Transport(transport, "worker")}, timeout: workerCallTimeout}
	store := httptest.NewServer(kv.New())
	b.Cleanup(store.Close)
	ledgers := ledger.New(ledger.Options{Store: kvstore.NewClient(store.URL), WriteInterval: time.Millisecond})
	d.jobs = ledgers.Jobs("fd1")
	for i := range benchHosts {
		d.view.Hosts = append(d.view.Hosts, kvstore.Host{Name: fmt.Sprint("entry", i), Kind: kvstore.EntryHost, FailureDomain: "fd1"})
	}
	workers := d.startWorkers(b)
	d.startGangs(b, workers, gangTasks)
	_, err := d.jobs.ReadAll(context.Background())
	must.NoError(b, err)
	return d
}

func (d *benchDomain) startWorkers(b *testing.B) []*worker.Server {
	var workers []*worker.Server
	for i := range benchWorkers {
		w := worker.New(worker.Options{Name: fmt.Sprintf("worker-%03d", i), Accelerators: benchTasks})
		s := httptest.NewServer(w)
		b.Cleanup(s.Close)
		workers = append(workers, w)
		d.view.Hosts = append(d.view.Hosts, kvstore.Host{Name: fmt.Sprintf("worker-%03d", i), Kind: kvstore.Worker,
			FailureDomain: "fd1", Rack: fmt.Sprint("rack", i/benchWorkersPerRack), Accelerators: 10, Address: strings.TrimPrefix(s.URL, "http://")})
	}
	return workers
}

func (d *benchDomain) startGangs(b *testing.B, workers []*worker.Server, gangTasks int) {
	racks := benchWorkers / benchWorkersPerRack
	for i := range benchTasks / gangTasks {
		rec := benchRecord(i, gangTasks)
		rec.Generation = 1
		g := workerapi.Gang{Job: rec.Spec.ID.String(), Generation: 1}
		for t := range gangTasks {
			k := (i%racks)*benchWorkersPerRack + (i/racks+t)%benchWorkersPerRack
			rec.Workers = append(rec.Workers, fmt.Sprintf("worker-%03d", k))
			workers[k].Reserve(workerapi.ReserveRequest{Gang: g, Tasks: []int{t}, TTL: time.Hour})
			workers[k].Start(workerapi.StartRequest{Gang: g, Tasks: []int{t}, Size: gangTasks, Lease: time.Hour})
		}
		rec.SetState(job.Running, "", time.Now())
		d.put(b, rec)
	}
}

func benchRecord(i, tasks int) job.Record {
	rec := job.Record{Team: "reconciliation", Submitted: time.Now(), Spec: job.Spec{
		ID:       job.ID{Organisation: fmt.Sprint("organisation-", i%4), Service: fmt.Sprint("service-", i%90), Name: fmt.Sprintf("job-2026-12-%06d", i)},
		Template: "train", DeclaredRun: time.Hour,
		Shape: job.Shape{Tasks: tasks, AcceleratorsPerTask: 1, Adjacency: job.SameRack}}}
	rec.SetState(job.Queued, "", time.Now())
	return rec
}

func (d *benchDomain) put(b *testing.B, rec job.Record) {
	_, err := d.jobs.Update(context.Background(), rec.Spec.ID.String(), func(job.Record, bool) (job.Record, bool, error) {
		return rec, true, nil
	})
	must.NoError(b, err)
}

func (d *benchDomain) options() Options {
	return Options{FailureDomain: "fd1", Ledger: d.jobs, Config: d, Membership: d, Election: d, Workers: d.workerCaller, Logger: log.New(io.Discard)}.withDefaults()
}

// BenchmarkRenewals reports the renewal traffic of the busiest entry host, of an
// average entry host and of a worker.
func BenchmarkRenewals(b *testing.B) {
	for _, tasks := range []int{1, 9, 34} {
		b.Run(fmt.Sprintf("gang=%d", tasks), func(b *testing.B) {
			d := newBenchDomain(b, tasks)
			var totalBytes, maxBytes, totalMessages, maxMessages float64
			b.ResetTimer()
			for range b.N {
				totalBytes, maxBytes, totalMessages, maxMessages = 0, 0, 0, 0
				for h := range benchHosts {
					d.view.Self = d.view.Hosts[h]
					r := newRenewer(d.options(), func(Observation) {})
					r.renewRound(context.Background()) // the first round sends probes
					bytes, sent := d.bytes.Load(), r.renewalsSent.Get()
					r.renewRound(context.Background())
					n, m := float64(d.bytes.Load()-bytes), float64(r.renewalsSent.Get()-sent)
					totalBytes, maxBytes = totalBytes+n, max(maxBytes, n)
					totalMessages, maxMessages = totalMessages+m, max(maxMessages, m)
				}
			}
			b.StopTimer()
			rounds := float64(2 * benchHosts * b.N)
			b.ReportMetric(b.Elapsed().Seconds()*1000/rounds, "ms/round")
			seconds := RenewInterval.Seconds()
			b.ReportMetric(maxBytes/seconds, "B/s-busiest-host")
			b.ReportMetric(totalBytes/seconds/benchHosts, "B/s-host")
			b.ReportMetric(totalBytes/seconds/benchWorkers, "B/s-worker")
			b.ReportMetric(maxMessages/seconds, "messages/s-busiest-host")
			b.ReportMetric(totalMessages/seconds/benchWorkers, "messages/s-worker")
		})
	}
}

// BenchmarkCycle reports the time of one scheduling cycle, with placement's decision
// (whole) and without it (acting).
func BenchmarkCycle(b *testing.B) {
	cases := []struct {
		name   string
		decide func(placement.View) placement.Plan
	}{
		{"acting", func(placement.View) placement.Plan { return placement.Plan{} }},
		{"whole", func(v placement.View) placement.Plan {
			p := placement.Decide(v)
			p.Starts, p.Reclaims = nil, nil
			return p
		}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			d := newBenchDomain(b, 9)
			for i := range benchQueuedJobs {
				d.put(b, benchRecord(100_000+i, 32))
			}
			o := d.options()
			o.Decide = c.decide
			d.view.Self = d.view.Hosts[0]
			s := New(o)
			ctx := context.Background()
			s.Cycle(ctx)
			deadline := time.Now().Add(3 * time.Second)
			for time.Now().Before(deadline) { // until the gangs are adopted
				s.deliverEvents(ctx)
			}
			b.ResetTimer()
			for range b.N {
				s.Cycle(ctx)
			}
			b.StopTimer()
			for range 20 {
				s.deliverEvents(ctx)
			}
			s.ioCalls.Wait()
		})
	}
}
