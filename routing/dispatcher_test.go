package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testDispatcher wraps a Dispatcher with a manual clock and records its decisions.
// Tests finish the dispatched attempts themselves.
type testDispatcher struct {
	*Dispatcher
	now  time.Time
	next uint64
	sent map[uint64]string // upstream name by ticket ID
	shed map[uint64]ShedReason
}

func newTestDispatcher(topology Topology) *testDispatcher {
	d := &testDispatcher{Dispatcher: NewDispatcher(rand.New(rand.NewSource(1))), now: start}
	d.sent, d.shed = make(map[uint64]string), make(map[uint64]ShedReason)
	d.record(d.UpdateTopology(d.now, topology))
	return d
}

func (d *testDispatcher) record(decisions Decisions) {
	for _, x := range decisions.Dispatches {
		d.sent[x.TicketID] = x.Upstream.Name
	}
	for _, x := range decisions.Sheds {
		d.shed[x.TicketID] = x.Reason
	}
}

func (d *testDispatcher) submit(organisation string, timeout time.Duration) uint64 {
	d.next++
	d.record(d.Submit(d.now, Ticket{ID: d.next, Organisation: organisation, QueueDeadline: d.now.Add(timeout), Deadline: d.now.Add(timeout)}))
	return d.next
}

func (d *testDispatcher) finish(id uint64, r AttemptResult) {
	delete(d.sent, id)
	d.record(d.FinishAttempt(d.now, AttemptReport{TicketID: id, Result: r}))
}

// inFlightAt returns the number of requests in flight at an upstream.
func (d *testDispatcher) inFlightAt(upstream string) int {
	n := 0
	for _, u := range d.sent {
		if u == upstream {
			n++
		}
	}
	return n
}

func topologyOf(hosts ...kvstore.Host) Topology {
	self := kvstore.Host{Name: "e1", FailureDomain: "a"}
	return Topology{Self: self, EntryHosts: []kvstore.Host{self}, Upstreams: hosts, OutOfService: map[string]bool{}}
}

func upstreamHost(name, domain string, slots int) kvstore.Host {
	return kvstore.Host{Name: name, FailureDomain: domain, Slots: slots, Address: name}
}

func TestCapacitySharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 80).Draw(t, "limit")
		n := rapid.IntRange(1, 9).Draw(t, "hosts")
		var hosts []string
		for i := range n {
			hosts = append(hosts, fmt.Sprint("e", i))
		}
		sum := 0
		for _, h := range hosts {
			share := CapacityShare(limit, "u", h, hosts)
			must.LessEq(t, limit/n+1, share)
			sum += share
		}
		must.Eq(t, limit, sum)
	})
}

func TestPrefersLocalFailureDomainThenSpillsOver(t *testing.T) {
	topology := topologyOf(upstreamHost("far", "b", 2), upstreamHost("near", "a", 2))
	d := newTestDispatcher(topology)
	d.submit("x", time.Minute)
	d.submit("x", time.Minute)
	must.Eq(t, 2, d.inFlightAt("near"))
	d.submit("x", time.Minute)
	must.Eq(t, 1, d.inFlightAt("far"))
	topology.OutOfService = map[string]bool{"a": true}
	d.finish(1, Responded)
	d.record(d.UpdateTopology(d.now, topology))
	d.submit("x", time.Minute)
	must.Eq(t, 2, d.inFlightAt("far"))
	queued := d.submit("x", time.Minute)
	must.Eq(t, "", d.sent[queued])
}

// The share of an upstream's slots grows only after a delay when an entry host
// leaves, since that host's requests may still be running on the upstream.
func TestShareGrowsOnlyAfterDelay(t *testing.T) {
	topology := topologyOf(upstreamHost("u", "a", 8))
	one := topology.EntryHosts
	topology.EntryHosts = append(one, kvstore.Host{Name: "e2", FailureDomain: "a"})
	d := newTestDispatcher(topology)
	for range 8 {
		d.submit("x", time.Minute)
	}
	must.Eq(t, 4, d.inFlightAt("u"))
	topology.EntryHosts = one
	d.record(d.UpdateTopology(d.now, topology))
	must.Eq(t, 4, d.inFlightAt("u"))
	d.now = d.now.Add(shareGrowthDelay)
	d.record(d.Tick(d.now))
	must.Eq(t, 8, d.inFlightAt("u"))
}

// Requests wait for a busy fast upstream rather than use one that is 10 times
// slower, until the queue is long enough for the slow one to finish sooner.
func TestSlowUpstreamIsUsedOnlyForLongQueue(t *testing.T) {
	d := newTestDispatcher(topologyOf(upstreamHost("fast", "a", 4), upstreamHost("slow", "a", 4)))
	d.upstreams.find("fast").recordSuccess(d.now, 10*time.Millisecond)
	d.upstreams.find("slow").recordSuccess(d.now, 100*time.Millisecond)
	for range 8 {
		d.submit("x", time.Minute)
	}
	must.Eq(t, 4, d.inFlightAt("fast"))
	must.Eq(t, 0, d.inFlightAt("slow"))
	for range 30 {
		d.submit("x", time.Minute)
	}
	must.Positive(t, d.inFlightAt("slow"))
}

// An organisation whose requests run on the fast upstream must not keep its slot:
// both organisations get an equal share of it, although one queued first.
func TestOrganisationsShareWorkEqually(t *testing.T) {
	d := newTestDispatcher(topologyOf(upstreamHost("fast", "a", 1), upstreamHost("slow", "a", 1)))
	d.upstreams.find("fast").recordSuccess(d.now, 10*time.Millisecond)
	d.upstreams.find("slow").recordSuccess(d.now, 15*time.Millisecond)
	for range 15 {
		d.submit("first", time.Minute)
	}
	for range 15 {
		d.submit("second", time.Minute)
	}
	waiting := func(organisation string) int { return len(d.queue.queueOf(organisation).waiting) }
	first, second := waiting("first"), waiting("second")
	for range 20 {
		for id, u := range d.sent {
			if u == "fast" {
				d.now = d.now.Add(10 * time.Millisecond)
				d.finish(id, Responded)
				break
			}
		}
	}
	must.Between(t, 9, first-waiting("first"), 11)
	must.Between(t, 9, second-waiting("second"), 11)
}

func TestFullQueueShedsFromLongestOrganisationQueue(t *testing.T) {
	d := newTestDispatcher(topologyOf(upstreamHost("u", "a", 1)))
	for range minQueueLimit + 1 {
		d.submit("large", time.Hour)
	}
	must.MapEmpty(t, d.shed)
	small := d.submit("small", time.Hour)
	must.MapLen(t, 1, d.shed)
	must.MapNotContainsKey(t, d.shed, small)
}

func TestRequestThatCannotStartInTimeIsShedOnSubmit(t *testing.T) {
	d := newTestDispatcher(topologyOf(upstreamHost("u", "a", 1)))
	d.upstreams.find("u").recordSuccess(d.now, time.Second)
	d.submit("x", time.Minute)
	d.submit("x", time.Minute)
	late := d.submit("x", 500*time.Millisecond)
	must.Eq(t, TooLate, d.shed[late])
	must.Eq(t, 1, d.queue.length)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	d := newTestDispatcher(topologyOf(upstreamHost("u", "a", 1)))
	retries := 0
	for d.AllowRetry() {
		retries++
	}
	must.Eq(t, maxRetryTokens, retries)
	for range 100 {
		d.finish(d.submit("x", time.Minute), Responded)
	}
	retries = 0
	for d.AllowRetry() {
		retries++
	}
	must.Between(t, 19, retries, 20)
}

// A failed upstream gets no request until a probe succeeds, and then one at a time
// until a request succeeds.
func TestFailedUpstreamRecoversThroughProbe(t *testing.T) {
	d := newTestDispatcher(topologyOf(upstreamHost("bad", "a", 4), upstreamHost("good", "b", 4)))
	d.finish(d.submit("x", time.Minute), Failed)
	d.submit("x", time.Minute)
	must.Eq(t, 1, d.inFlightAt("good"))
	must.SliceEmpty(t, d.StartProbes(d.now))
	d.now = d.now.Add(firstBackoff)
	must.Len(t, 1, d.StartProbes(d.now))
	must.SliceEmpty(t, d.StartProbes(d.now))
	d.record(d.FinishProbe(d.now, "bad", true, false))
	trial := d.submit("x", time.Minute)
	d.submit("x", time.Minute)
	must.Eq(t, 1, d.inFlightAt("bad"))
	d.finish(trial, Responded)
	d.submit("x", time.Minute)
	d.submit("x", time.Minute)
	must.Greater(t, 1, d.inFlightAt("bad"))
}

// A leaving upstream is used again once a probe has failed and a later one has
// succeeded, as after a restart.
func TestLeavingUpstreamIsUsedAgainAfterRestart(t *testing.T) {
	d := newTestDispatcher(topologyOf(upstreamHost("u", "a", 4)))
	d.finish(d.submit("x", time.Minute), Leaving)
	for _, alive := range []bool{true, false, true} {
		queued := d.submit("x", time.Minute)
		must.Eq(t, "", d.sent[queued])
		d.now = d.now.Add(probeInterval)
		must.Len(t, 1, d.StartProbes(d.now))
		d.record(d.FinishProbe(d.now, "u", alive, false))
	}
	must.Eq(t, 1, d.inFlightAt("u"))
}

// The dispatcher depends neither on the clock nor on the order of maps: the same
// calls at the same times, with the same random source, give the same decisions.
func TestDecisionsAreDeterministic(t *testing.T) {
	simulate := func() (map[uint64]string, map[uint64]ShedReason) {
		d := newTestDispatcher(topologyOf(upstreamHost("u1", "a", 2), upstreamHost("u2", "a", 2), upstreamHost("u3", "b", 2)))
		random := rand.New(rand.NewSource(7))
		for range 500 {
			d.now = d.now.Add(time.Duration(random.Intn(20)) * time.Millisecond)
			d.submit(fmt.Sprint("organisation-", random.Intn(3)), 50*time.Millisecond)
			for id := range uint64(500) {
				if _, sent := d.sent[id]; sent && random.Intn(3) == 0 {
					d.finish(id, Responded)
					break
				}
			}
		}
		return d.sent, d.shed
	}
	sent, shed := simulate()
	again, shedAgain := simulate()
	must.Eq(t, sent, again)
	must.Eq(t, shed, shedAgain)
	must.Positive(t, len(shed))
}
