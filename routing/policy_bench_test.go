package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

// The policy benchmarks simulate the dispatchers of 7 entry hosts in virtual time
// with upstreams whose speeds differ by a factor of 10, and compare them with
// round robin under the same arrivals. In the names of sub-benchmarks, "core" is
// the Dispatcher.
const (
	benchEntryHosts           = 7
	benchUpstreams            = 50
	benchSlotsPerUpstream     = 8
	benchDomains              = 4
	benchSpeedRatio           = 10.0                   // of the fastest upstream to the slowest
	benchMeanWork             = 200 * time.Millisecond // mean of a request, on the slowest upstream
	benchTimeout              = 5 * time.Second
	benchLength               = 12 * time.Second
	benchWarmUp               = 3 * time.Second
	benchUpdateDelay          = time.Second // until every entry host has the new configuration
	benchConnectionResetDelay = time.Millisecond
)

// organisationLoadShare is each organisation's share of the offered load.
var organisationLoadShare = []float64{0.46, 0.18, 0.18, 0.18}

// simRequest is a simulated request.
type simRequest struct {
	id       uint64
	org      int
	host     int
	work     time.Duration
	arrived  time.Time
	deadline time.Time
	attempts int
}

// simEvent is a function that runs at a point in virtual time.
type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

// simHeap orders events by time, and then by sequence number.
type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// simUpstream is a simulated upstream.
type simUpstream struct {
	host        kvstore.Host
	speed       float64
	busy        int      // slots in use
	waiting     []func() // starts the requests that exceed the slots
	unreachable bool
	outages     int // number of outages so far
}

// sim is the simulation of one policy.
type sim struct {
	now            time.Time
	events         simHeap
	seq            int
	rng            *rand.Rand
	upstreams      []*simUpstream
	byName         map[string]*simUpstream
	dispatchers    []*Dispatcher // by entry host; empty: round robin
	lastRoundRobin []int         // index of the last upstream used, by entry host
	out            bool          // failure domain d0 is out of service, for round robin
	topology       Topology
	requests       map[uint64]*simRequest
	next           uint64

	latencies    []time.Duration
	work         []time.Duration // finished before the deadline, by organisation
	measureFrom  time.Time
	measuredWork time.Duration // finished before the deadline since measureFrom
	peak         int           // most requests at one upstream, running or waiting
}

func newSim(useDispatcher bool, seed int64) *sim {
	s := &sim{now: start, rng: rand.New(rand.NewSource(seed)), byName: make(map[string]*simUpstream), requests: make(map[uint64]*simRequest)}
	s.work = make([]time.Duration, len(organisationLoadShare))
	s.measureFrom = start.Add(benchWarmUp)
	for i := range benchUpstreams {
		name := fmt.Sprintf("u%02d", i)
		host := kvstore.Host{Name: name, Address: name, FailureDomain: fmt.Sprint("d", i%benchDomains), Slots: benchSlotsPerUpstream, Connections: 60}
		u := &simUpstream{host: host, speed: math.Pow(benchSpeedRatio, float64(i)/(benchUpstreams-1))}
		s.upstreams = append(s.upstreams, u)
		s.byName[name] = u
		s.topology.Upstreams = append(s.topology.Upstreams, host)
	}
	s.lastRoundRobin = make([]int, benchEntryHosts)
	for i := range benchEntryHosts {
		s.lastRoundRobin[i] = i * benchUpstreams / benchEntryHosts
		s.topology.EntryHosts = append(s.topology.EntryHosts, kvstore.Host{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%benchDomains)})
	}
	if useDispatcher {
		for i := range benchEntryHosts {
			s.dispatchers = append(s.dispatchers, NewDispatcher(rand.New(rand.NewSource(seed+int64(i)))))
		}
	}
	s.update(false)
	return s
}

// update tells every entry host whether failure domain d0 is out of service.
func (s *sim) update(out bool) {
	s.out = out
	for i, d := range s.dispatchers {
		topology := s.topology
		topology.Self, topology.OutOfService = topology.EntryHosts[i], map[string]bool{"d0": out}
		s.apply(i, d.UpdateTopology(s.now, topology))
	}
}

// after schedules do to run after the delay d of virtual time.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

// capacity returns the work that the upstreams finish each second, as time on the
// slowest one, without those in the given failure domain.
func (s *sim) capacity(without string) float64 {
	total := 0.0
	for _, u := range s.upstreams {
		if u.host.FailureDomain != without {
			total += benchSlotsPerUpstream * u.speed
		}
	}
	return total
}

// run runs the simulation for benchLength with a load given as a fraction of the
// capacity.
func (s *sim) run(load float64) {
	rate := load * s.capacity("") / benchMeanWork.Seconds()
	end := start.Add(benchLength)
	var arrive func()
	arrive = func() {
		s.arrive()
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
	for i := range s.dispatchers {
		var tick func()
		tick = func() {
			for _, h := range s.dispatchers[i].StartProbes(s.now) {
				s.apply(i, s.dispatchers[i].FinishProbe(s.now, h.Name, !s.byName[h.Name].unreachable, false))
			}
			s.apply(i, s.dispatchers[i].Tick(s.now))
			s.after(20*time.Millisecond, tick)
		}
		s.after(0, tick)
	}
	for s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *sim) arrive() {
	s.next++
	q := &simRequest{id: s.next, host: s.rng.Intn(benchEntryHosts), arrived: s.now, deadline: s.now.Add(benchTimeout)}
	q.work = time.Duration(s.rng.ExpFloat64() * float64(benchMeanWork))
	pick := s.rng.Float64()
	for q.org = 0; q.org < len(organisationLoadShare)-1 && pick >= organisationLoadShare[q.org]; q.org++ {
		pick -= organisationLoadShare[q.org]
	}
	s.requests[q.id] = q
	s.submit(q)
}

func (s *sim) submit(q *simRequest) {
	if s.dispatchers == nil {
		s.sendTo(q, s.roundRobin(q.host), func(bool) {})
		return
	}
	t := Ticket{ID: q.id, Organisation: fmt.Sprint("o", q.org), QueueDeadline: s.now.Add(q.deadline.Sub(s.now) / queueTimeoutDivisor), Deadline: q.deadline, Retry: q.attempts > 0}
	s.apply(q.host, s.dispatchers[q.host].Submit(s.now, t))
}

// roundRobin returns the entry host's next upstream that is in service.
func (s *sim) roundRobin(host int) *simUpstream {
	for {
		s.lastRoundRobin[host]++
		u := s.upstreams[s.lastRoundRobin[host]%len(s.upstreams)]
		if !s.out || u.host.FailureDomain != "d0" {
			return u
		}
	}
}

func (s *sim) apply(host int, d Decisions) {
	for _, x := range d.Sheds {
		delete(s.requests, x.TicketID)
	}
	for _, x := range d.Dispatches {
		q := s.requests[x.TicketID]
		u := s.byName[x.Upstream.Name]
		s.sendTo(q, u, func(complete bool) {
			rep := AttemptReport{TicketID: q.id, Result: Responded}
			if !complete {
				rep.Result = Failed
			}
			s.apply(host, s.dispatchers[host].FinishAttempt(s.now, rep))
			if !complete && q.attempts < maxAttempts && s.dispatchers[host].AllowRetry() {
				s.requests[q.id] = q
				s.submit(q)
			}
		})
	}
}

// sendTo starts a request at an upstream, or enqueues it there when all slots are
// busy. onEnd is called at the end of the attempt.
func (s *sim) sendTo(q *simRequest, u *simUpstream, onEnd func(complete bool)) {
	q.attempts++
	begin := func() {
		outages := u.outages
		took := time.Duration(float64(q.work) / u.speed)
		if u.host.FailureDomain != s.topology.EntryHosts[q.host].FailureDomain {
			took += remoteRoundTrip
		}
		s.after(took, func() {
			if u.outages != outages {
				onEnd(false)
				return
			}
			u.busy--
			s.finish(q)
			onEnd(true)
			if len(u.waiting) > 0 {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				u.busy++
				next()
			}
		})
	}
	switch {
	case u.unreachable:
		s.after(benchConnectionResetDelay, func() { onEnd(false) })
	case u.busy < benchSlotsPerUpstream:
		u.busy++
		begin()
	default:
		u.waiting = append(u.waiting, begin)
	}
	s.peak = max(s.peak, u.busy+len(u.waiting))
}

// finish records the latency and work of a finished request.
func (s *sim) finish(q *simRequest) {
	delete(s.requests, q.id)
	if s.now.Before(s.measureFrom) {
		return
	}
	took := s.now.Sub(q.arrived)
	s.latencies = append(s.latencies, min(took, benchTimeout))
	if s.now.Before(q.deadline) {
		s.work[q.org] += q.work
		s.measuredWork += q.work
	}
}

// report reports the metrics of the run: completion times, work finished before
// the deadline as a fraction of ideal, the ratio of the least to the most work
// among the organisations, and the peak load on an upstream.
func (s *sim) report(b *testing.B, ideal float64) {
	slices.Sort(s.latencies)
	quantileMillis := func(q float64) float64 {
		return float64(s.latencies[int(q*float64(len(s.latencies)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(quantileMillis(0.5), "p50-ms")
	b.ReportMetric(quantileMillis(0.99), "p99-ms")
	b.ReportMetric(s.measuredWork.Seconds()/ideal, "work/ideal")
	b.ReportMetric(slices.Min(s.work).Seconds()/slices.Max(s.work).Seconds(), "fairness")
	b.ReportMetric(float64(s.peak), "peak-on-a-runner")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPolicy compares the Dispatcher with round robin at several loads.
func BenchmarkPolicy(b *testing.B) {
	for _, load := range []float64{0.5, 0.9, 2.0} {
		for _, policy := range []string{"core", "round-robin"} {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, policy), func(b *testing.B) {
				for range b.N {
					s := newSim(policy == "core", 1)
					s.run(load)
					ideal := min(load, 1) * s.capacity("") * (benchLength - benchWarmUp).Seconds()
					s.report(b, ideal)
				}
			})
		}
	}
}

// BenchmarkFailureDomain takes a failure domain out of service, or simulates its
// outage, and restores it, at a load of 0.9 of the capacity of all upstreams. The
// ideal counts the domain's upstreams except while they are lost or every entry
// host has the configuration that takes them out.
func BenchmarkFailureDomain(b *testing.B) {
	const (
		load        = 0.9
		absentFrom  = 3 * time.Second
		absentUntil = 9 * time.Second
	)
	for _, lost := range []bool{false, true} {
		for _, policy := range []string{"core", "round-robin"} {
			b.Run(fmt.Sprintf("lost=%v/%s", lost, policy), func(b *testing.B) {
				for range b.N {
					s := newSim(policy == "core", 1)
					s.after(absentFrom, func() { s.startOutage(lost) })
					s.after(absentFrom+benchUpdateDelay, func() { s.update(true) })
					s.after(absentUntil, func() { s.endOutage() })
					s.after(absentUntil+benchUpdateDelay, func() { s.update(false) })
					s.run(load)
					absentFor := absentUntil - absentFrom
					if lost {
						absentFor += benchUpdateDelay
					}
					absent := min(load*s.capacity(""), s.capacity("d0")) * absentFor.Seconds()
					present := load * s.capacity("") * (benchLength - benchWarmUp - absentFor).Seconds()
					s.report(b, absent+present)
				}
			})
		}
	}
}

// startOutage makes the upstreams of d0 unreachable and drops their requests, if
// lost is set; otherwise it does nothing.
func (s *sim) startOutage(lost bool) {
	for _, u := range s.upstreams {
		if u.host.FailureDomain == "d0" && lost {
			u.unreachable, u.outages, u.busy, u.waiting = true, u.outages+1, 0, nil
		}
	}
}

func (s *sim) endOutage() {
	for _, u := range s.upstreams {
		u.unreachable = false
	}
}
