package routing_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/claims"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/routing"
	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/upstream"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sendRequest sends a request with a small body and returns its outcome. An empty
// key sends no idempotency key.
func sendRequest(b *testing.B, method, url, key string) routing.Outcome {
	req, err := http.NewRequest(method, url, strings.NewReader("kit"))
	must.NoError(b, err)
	req.Header.Set("Organisation", "acme")
	if key != "" {
		req.Header.Set(routing.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(b, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(b, err)
	return routing.Outcome(resp.Header.Get(routing.HeaderOutcome))
}

// BenchmarkAddedLatency measures the latency and CPU time that an entry host adds
// to a direct call. Direct and forwarded calls alternate, so that both run under
// the same machine load.
func BenchmarkAddedLatency(b *testing.B) {
	for _, method := range []string{"GET", "POST"} {
		b.Run(method, func(b *testing.B) {
			host, _, _ := startProxiedUpstream(b, upstream.Options{Name: "u1", Work: 2 * time.Millisecond})
			e := startEntryHost(b, newFakeSource(time.Minute, host), nil)
			direct, forwarded := hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
			var cpu [2]time.Duration
			for b.Loop() {
				for i, target := range []string{"http://" + host.Address + "/book", e.url + "/v1/services/loans/requests/book"} {
					used, began := cpuTime(b), time.Now()
					sendRequest(b, method, target, "")
					took := time.Since(began).Microseconds()
					cpu[i] += cpuTime(b) - used
					_ = []*hdrhistogram.Histogram{direct, forwarded}[i].RecordValue(took)
				}
			}
			for _, q := range []float64{50, 99} {
				added := forwarded.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
				b.ReportMetric(float64(added), fmt.Sprintf("added-p%.0f-us", q))
			}
			b.ReportMetric(float64((cpu[1]-cpu[0]).Microseconds())/float64(forwarded.TotalCount()), "added-cpu-us/op")
		})
	}
}

// BenchmarkKeyedRequests measures the platform calls per 1000 requests with an
// idempotency key, including watches and lease renewals, and their latency, with
// 3 entry hosts and 64 callers.
func BenchmarkKeyedRequests(b *testing.B) {
	const (
		callers = 64
		length  = 5 * time.Second
	)
	hosts := startUpstreams(b, 4)
	store := kv.New()
	entries := startKeyedEntryHosts(b, store, 3, claims.DefaultCommitInterval, hosts...)
	sendRequest(b, "POST", entries[0].url+"/v1/services/loans/requests/book", "warm-up")
	before := sumCalls(store.Calls())
	latency := hdrhistogram.New(1, 1e9, 3)
	var ran atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	for b.Loop() {
		end := time.Now().Add(length)
		for c := range callers {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					began := time.Now()
					url := entries[(c+n)%len(entries)].url + "/v1/services/loans/requests/book"
					if sendRequest(b, "POST", url, fmt.Sprintf("k-%d-%d", c, n)) == routing.Ran {
						ran.Add(1)
					}
					mu.Lock()
					_ = latency.RecordValue(time.Since(began).Microseconds())
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	b.ReportMetric(float64(sumCalls(store.Calls())-before)/float64(ran.Load())*1000, "calls/1000")
	b.ReportMetric(float64(ran.Load())/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(mem.Sys)/(1<<20), "MiB-all-hosts")
}

// BenchmarkIdle measures the CPU use of routing on an entry host with 50 upstreams
// that receives no requests.
func BenchmarkIdle(b *testing.B) {
	e := startEntryHost(b, newFakeSource(time.Minute, startUpstreams(b, 50)...), nil)
	for range 50 {
		sendRequest(b, "GET", e.url+"/v1/services/loans/requests/book", "")
	}
	for b.Loop() {
		before := cpuTime(b)
		time.Sleep(2 * time.Second)
		b.ReportMetric(100*(cpuTime(b)-before).Seconds()/2, "core-percent")
	}
}

func sumCalls(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}

// BenchmarkOverload offers about twice the capacity of 10 upstreams, whose speeds
// differ by a factor of 10, through 3 entry hosts over real connections.
func BenchmarkOverload(b *testing.B) {
	const (
		callers     = 600
		warmUp      = 2 * time.Second
		length      = 8 * time.Second
		slowestWork = 500 * time.Millisecond // work of a request on the slowest upstream
		slots       = 8
		pause       = 20 * time.Millisecond // of a caller whose request was refused
	)
	var ups []*upstream.Upstream
	var hosts []kvstore.Host
	capacity := 0.0
	for i := range 10 {
		name, speed := fmt.Sprint("u", i), math.Pow(10, float64(i)/9)
		u := upstream.New(upstream.Options{Name: name, Slots: slots, Work: slowestWork, Speed: speed})
		server := httptest.NewServer(u)
		b.Cleanup(server.Close)
		ups = append(ups, u)
		capacity += slots * speed / slowestWork.Seconds()
		hosts = append(hosts, kvstore.Host{Name: name, Kind: kvstore.Upstream, FailureDomain: "a", Service: "loans", Address: server.Listener.Addr().String(), Slots: slots, Connections: 60})
	}
	entries := startKeyedEntryHosts(b, kv.New(), 3, claims.DefaultCommitInterval, hosts...)
	organisations := []string{"acme", "north", "south", "west"}
	var ran [4]atomic.Int64
	var unknown atomic.Int64
	for b.Loop() {
		var wg sync.WaitGroup
		from, end := time.Now().Add(warmUp), time.Now().Add(length)
		for c := range callers {
			wg.Go(func() {
				// Organisation 0 has 5/8 of the callers, each of the others 1/8.
				org := min(c*len(organisations)*2/callers/2, 3)
				if c%2 == 0 {
					org = 0
				}
				for time.Now().Before(end) {
					outcome := entries[c%3].send(b, "POST", organisations[org], "").outcome
					now := time.Now()
					if now.Before(from) || now.After(end) {
						continue
					}
					switch outcome {
					case routing.Ran:
						ran[org].Add(1)
					case routing.Unknown:
						unknown.Add(1)
					default:
						time.Sleep(pause)
					}
				}
			})
		}
		wg.Wait()
	}
	sum, least, most, peak := int64(0), int64(math.MaxInt64), int64(0), int64(0)
	for i := range ran {
		n := ran[i].Load()
		sum, least, most = sum+n, min(least, n), max(most, n)
	}
	for _, u := range ups {
		peak = max(peak, u.PeakInFlight())
	}
	b.ReportMetric(float64(sum)/(length-warmUp).Seconds()/capacity, "work/capacity")
	b.ReportMetric(float64(least)/float64(most), "fairness")
	b.ReportMetric(float64(unknown.Load()), "unknown")
	b.ReportMetric(float64(peak), "peak-on-an-upstream")
}
