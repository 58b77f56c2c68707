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

func newTestDispatcher(f Topology) *testDispatcher {
	c := &testDispatcher{Dispatcher: NewDispatcher(rand.New(rand.NewSource(1))), now: start}
	c.sent, c.shed = make(map[uint64]string), make(map[uint64]ShedReason)
	c.record(c.UpdateTopology(c.now, f))
	return c
}

func (c *testDispatcher) record(d Decisions) {
	for _, x := range d.Dispatches {
		c.sent[x.TicketID] = x.Upstream.Name
	}
	for _, x := range d.Sheds {
		c.shed[x.TicketID] = x.Reason
	}
}

func (c *testDispatcher) submit(organisation string, timeout time.Duration) uint64 {
	c.next++
	c.record(c.Submit(c.now, Ticket{ID: c.next, Organisation: organisation, QueueDeadline: c.now.Add(timeout), Deadline: c.now.Add(timeout)}))
	return c.next
}

func (c *testDispatcher) finish(id uint64, r AttemptResult) {
	delete(c.sent, id)
	c.record(c.FinishAttempt(c.now, AttemptReport{TicketID: id, Result: r}))
}

// inFlightAt returns the number of requests in flight at an upstream.
func (c *testDispatcher) inFlightAt(upstream string) int {
	n := 0
	for _, u := range c.sent {
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
	f := topologyOf(upstreamHost("far", "b", 2), upstreamHost("near", "a", 2))
	c := newTestDispatcher(f)
	c.submit("x", time.Minute)
	c.submit("x", time.Minute)
	must.Eq(t, 2, c.inFlightAt("near"))
	c.submit("x", time.Minute)
	must.Eq(t, 1, c.inFlightAt("far"))
	f.OutOfService = map[string]bool{"a": true}
	c.finish(1, Responded)
	c.record(c.UpdateTopology(c.now, f))
	c.submit("x", time.Minute)
	must.Eq(t, 2, c.inFlightAt("far"))
	waits := c.submit("x", time.Minute)
	must.Eq(t, "", c.sent[waits])
}

// The share of an upstream's slots grows only after a delay when an entry host
// leaves, since that host's requests may still be running on the upstream.
func TestShareGrowsOnlyAfterDelay(t *testing.T) {
	f := topologyOf(upstreamHost("u", "a", 8))
	one := f.EntryHosts
	f.EntryHosts = append(one, kvstore.Host{Name: "e2", FailureDomain: "a"})
	c := newTestDispatcher(f)
	for range 8 {
		c.submit("x", time.Minute)
	}
	must.Eq(t, 4, c.inFlightAt("u"))
	f.EntryHosts = one
	c.record(c.UpdateTopology(c.now, f))
	must.Eq(t, 4, c.inFlightAt("u"))
	c.now = c.now.Add(shareGrowthDelay)
	c.record(c.Tick(c.now))
	must.Eq(t, 8, c.inFlightAt("u"))
}

// Requests wait for a busy fast upstream rather than use one that is 10 times
// slower, until the queue is long enough for the slow one to finish sooner.
func TestSlowUpstreamIsUsedOnlyForLongQueue(t *testing.T) {
	c := newTestDispatcher(topologyOf(upstreamHost("fast", "a", 4), upstreamHost("slow", "a", 4)))
	c.upstreams.find("fast").recordSuccess(c.now, 10*time.Millisecond)
	c.upstreams.find("slow").recordSuccess(c.now, 100*time.Millisecond)
	for range 8 {
		c.submit("x", time.Minute)
	}
	must.Eq(t, 4, c.inFlightAt("fast"))
	must.Eq(t, 0, c.inFlightAt("slow"))
	for range 30 {
		c.submit("x", time.Minute)
	}
	must.Positive(t, c.inFlightAt("slow"))
}

// An organisation whose requests run on the fast upstream must not keep its slot:
// both organisations get an equal share of it, although one queued first.
func TestOrganisationsShareWorkEqually(t *testing.T) {
	c := newTestDispatcher(topologyOf(upstreamHost("fast", "a", 1), upstreamHost("slow", "a", 1)))
	c.upstreams.find("fast").recordSuccess(c.now, 10*time.Millisecond)
	c.upstreams.find("slow").recordSuccess(c.now, 15*time.Millisecond)
	for range 15 {
		c.submit("first", time.Minute)
	}
	for range 15 {
		c.submit("second", time.Minute)
	}
	waiting := func(organisation string) int { return len(c.queue.queueOf(organisation).waiting) }
	first, second := waiting("first"), waiting("second")
	for range 20 {
		for id, u := range c.sent {
			if u == "fast" {
				c.now = c.now.Add(10 * time.Millisecond)
				c.finish(id, Responded)
				break
			}
		}
	}
	must.Between(t, 9, first-waiting("first"), 11)
	must.Between(t, 9, second-waiting("second"), 11)
}

func TestFullQueueShedsFromLongestOrganisationQueue(t *testing.T) {
	c := newTestDispatcher(topologyOf(upstreamHost("u", "a", 1)))
	for range minQueueLimit + 1 {
		c.submit("large", time.Hour)
	}
	must.MapEmpty(t, c.shed)
	small := c.submit("small", time.Hour)
	must.MapLen(t, 1, c.shed)
	must.MapNotContainsKey(t, c.shed, small)
}

func TestRequestThatCannotStartInTimeIsShedOnSubmit(t *testing.T) {
	c := newTestDispatcher(topologyOf(upstreamHost("u", "a", 1)))
	c.upstreams.find("u").recordSuccess(c.now, time.Second)
	c.submit("x", time.Minute)
	c.submit("x", time.Minute)
	late := c.submit("x", 500*time.Millisecond)
	must.Eq(t, TooLate, c.shed[late])
	must.Eq(t, 1, c.queue.length)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	c := newTestDispatcher(topologyOf(upstreamHost("u", "a", 1)))
	retries := 0
	for c.AllowRetry() {
		retries++
	}
	must.Eq(t, maxRetryTokens, retries)
	for range 100 {
		c.finish(c.submit("x", time.Minute), Responded)
	}
	retries = 0
	for c.AllowRetry() {
		retries++
	}
	must.Between(t, 19, retries, 20)
}

// A failed upstream gets no request until a probe succeeds, and then one at a time
// until a request succeeds.
func TestFailedUpstreamRecoversThroughProbe(t *testing.T) {
	c := newTestDispatcher(topologyOf(upstreamHost("bad", "a", 4), upstreamHost("good", "b", 4)))
	c.finish(c.submit("x", time.Minute), Failed)
	c.submit("x", time.Minute)
	must.Eq(t, 1, c.inFlightAt("good"))
	must.SliceEmpty(t, c.StartProbes(c.now))
	c.now = c.now.Add(firstBackoff)
	must.Len(t, 1, c.StartProbes(c.now))
	must.SliceEmpty(t, c.StartProbes(c.now))
	c.record(c.FinishProbe(c.now, "bad", true, false))
	trial := c.submit("x", time.Minute)
	c.submit("x", time.Minute)
	must.Eq(t, 1, c.inFlightAt("bad"))
	c.finish(trial, Responded)
	c.submit("x", time.Minute)
	c.submit("x", time.Minute)
	must.Greater(t, 1, c.inFlightAt("bad"))
}

// A leaving upstream is used again once a probe has failed and a later one has
// succeeded, as after a restart.
func TestLeavingUpstreamIsUsedAgainAfterRestart(t *testing.T) {
	c := newTestDispatcher(topologyOf(upstreamHost("u", "a", 4)))
	c.finish(c.submit("x", time.Minute), Leaving)
	for _, alive := range []bool{true, false, true} {
		waits := c.submit("x", time.Minute)
		must.Eq(t, "", c.sent[waits])
		c.now = c.now.Add(probeInterval)
		must.Len(t, 1, c.StartProbes(c.now))
		c.record(c.FinishProbe(c.now, "u", alive, false))
	}
	must.Eq(t, 1, c.inFlightAt("u"))
}

// The dispatcher depends neither on the clock nor on the order of maps: the same
// calls at the same times, with the same random source, give the same decisions.
func TestDecisionsAreDeterministic(t *testing.T) {
	simulate := func() (map[uint64]string, map[uint64]ShedReason) {
		c := newTestDispatcher(topologyOf(upstreamHost("u1", "a", 2), upstreamHost("u2", "a", 2), upstreamHost("u3", "b", 2)))
		random := rand.New(rand.NewSource(7))
		for range 500 {
			c.now = c.now.Add(time.Duration(random.Intn(20)) * time.Millisecond)
			c.submit(fmt.Sprint("organisation-", random.Intn(3)), 50*time.Millisecond)
			for id := range uint64(500) {
				if _, sent := c.sent[id]; sent && random.Intn(3) == 0 {
					c.finish(id, Responded)
					break
				}
			}
		}
		return c.sent, c.shed
	}
	sent, shed := simulate()
	again, shedAgain := simulate()
	must.Eq(t, sent, again)
	must.Eq(t, shed, shedAgain)
	must.Positive(t, len(shed))
}
