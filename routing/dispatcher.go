package routing

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	queueLimitPerSlot    = 4    // waiting tickets for each slot of this host
	minQueueLimit        = 32   // waiting tickets that are always allowed
	maxWorkCharge        = 20   // typical requests that one is charged at most
	minLatencySeconds    = 1e-5 // seconds; keeps rates finite
	overloadWindow       = time.Second
	attemptTimeoutFactor = 10 // times the expected latency before an idempotent attempt is given up
	minAttemptTimeout    = time.Second
)

// Topology is what membership and configuration say about one service.
type Topology struct {
	Self         kvstore.Host    // this entry host
	EntryHosts   []kvstore.Host  // the known entry hosts, this one included
	Silent       map[string]bool // entry hosts that are not heard at present
	Upstreams    []kvstore.Host  // the service's upstreams
	OutOfService map[string]bool // failure domains taken out
}

// AttemptResult says how an attempt ended, as far as the choice of runners goes.
type AttemptResult int

// The results of an attempt.
const (
	Responded   AttemptResult = iota // a whole answer
	ServerError                      // a whole answer with a 5xx status
	Failed                           // no connection, or no whole answer
	Leaving                          // the upstream said that it is leaving
	Full                             // the upstream said that it is full
	Unused                           // the slot was given back without a request
)

// AttemptReport tells the core that an attempt has ended.
type AttemptReport struct {
	Ticket          uint64
	Result          AttemptResult
	ConnectionClose bool // the answer carried Connection: close
}

// Dispatch sends a ticket to an upstream.
type Dispatch struct {
	Ticket         uint64
	Upstream       kvstore.Host
	AttemptTimeout time.Duration // an idempotent attempt is given up after this
}

// ShedReason says why a ticket is refused without having run.
type ShedReason string

// The reasons.
const (
	NoUpstream ShedReason = "no upstream of the service is available"
	QueueFull  ShedReason = "too many requests wait"
	TooLate    ShedReason = "the request would not finish in time"
)

// Shed refuses a ticket that was never sent.
type Shed struct {
	Ticket uint64
	Reason ShedReason
}

// Decisions are what the driver carries out.
type Decisions struct {
	Dispatches []Dispatch
	Sheds      []Shed
}

type attempt struct {
	ticket   *Ticket
	upstream *upstreamState
}

// Dispatcher decides for one service on one entry host which request goes to which
// runner. It is pure: time and randomness are passed in. It is not safe for
// concurrent use.
type Dispatcher struct {
	rng       *rand.Rand
	upstreams upstreamSet
	queue     fairQueue
	budget    retryBudget
	attempts  map[uint64]attempt
	lastShed  time.Time
}

// NewDispatcher returns a core without runners.
func NewDispatcher(rng *rand.Rand) *Dispatcher {
	return &Dispatcher{rng: rng, budget: newRetryBudget(), attempts: make(map[uint64]attempt)}
}

// UpdateTopology takes a new membership or configuration into account.
func (c *Dispatcher) UpdateTopology(now time.Time, f Topology) Decisions {
	next := make([]*upstreamState, 0, len(f.Upstreams))
	for _, host := range f.Upstreams {
		u := c.upstreams.find(host.Name)
		known := u != nil && u.host.Address == host.Address
		if !known {
			u = &upstreamState{inFlight: make(map[uint64]time.Time)}
		}
		u.host = host
		u.local = host.FailureDomain == f.Self.FailureDomain
		u.outOfService = f.OutOfService[host.FailureDomain]
		u.setShare(now, slotShare(host, f), known)
		next = append(next, u)
	}
	slices.SortFunc(next, func(a, b *upstreamState) int { return compareNames(a.host.Name, b.host.Name) })
	c.upstreams.states = next
	return c.dispatchWaiting(now, Decisions{})
}

// sharingHosts returns the names of the entry hosts that share an upstream. One that
// is silent is left out, unless it stands in the upstream's failure domain: cut
// off from here, it may well be using the upstream.
func (f Topology) sharingHosts(upstream kvstore.Host) []string {
	var names []string
	for _, h := range f.EntryHosts {
		if !f.Silent[h.Name] || h.FailureDomain == upstream.FailureDomain {
			names = append(names, h.Name)
		}
	}
	return names
}

// slotShare bounds the slots also by the connections, of which each request
// in flight uses one.
func slotShare(host kvstore.Host, f Topology) int {
	names := f.sharingHosts(host)
	share := CapacityShare(host.Slots, host.Name, f.Self.Name, names)
	if host.Connections > 0 {
		share = min(share, CapacityShare(host.Connections, host.Name, f.Self.Name, names))
	}
	return share
}

// Admit reports whether a request would be taken now; it changes nothing. The
// driver asks before it spends a claim on the request.
func (c *Dispatcher) Admit(now time.Time, t Ticket) (ShedReason, bool) {
	if !c.anyUsable() {
		return NoUpstream, false
	}
	if c.queue.length == 0 {
		return "", true
	}
	rate := c.upstreams.completionsPerSecond(now, c.upstreams.lowestLatencySeconds())
	if rate == 0 {
		return "", true
	}
	requestsAhead := float64(len(c.queue.queueOf(t.Organisation).waiting)+1) * float64(max(1, c.queue.activeQueues()))
	wait := time.Duration(requestsAhead / rate * float64(time.Second))
	if now.Add(wait).After(t.QueueDeadline) {
		return TooLate, false
	}
	return "", true
}

func (c *Dispatcher) anyUsable() bool {
	return slices.ContainsFunc(c.upstreams.states, (*upstreamState).usable)
}

// Submit takes a request: it is sent, waits, or is shed.
func (c *Dispatcher) Submit(now time.Time, t Ticket) Decisions {
	var d Decisions
	if reason, ok := c.Admit(now, t); !ok {
		return c.shed(now, d, t.ID, reason)
	}
	if !t.Retry {
		c.budget.earn()
	}
	c.queue.push(&t)
	d = c.dispatchWaiting(now, d)
	for c.queue.length > c.queueLimit() {
		d = c.shed(now, d, c.queue.dropNewestOfLongest().ID, QueueFull)
	}
	return d
}

func (c *Dispatcher) queueLimit() int {
	slots := 0
	for _, u := range c.upstreams.states {
		if u.usable() {
			slots += u.share
		}
	}
	return max(minQueueLimit, queueLimitPerSlot*slots)
}

// AllowRetry reports whether the retry budget allows one more attempt.
func (c *Dispatcher) AllowRetry() bool { return c.budget.spend() }

// Cancel takes a waiting request out; it reports whether it was still waiting.
func (c *Dispatcher) Cancel(id uint64) bool { return c.queue.remove(id) }

// FinishAttempt takes the end of an attempt into account.
func (c *Dispatcher) FinishAttempt(now time.Time, rep AttemptReport) Decisions {
	a, ok := c.attempts[rep.Ticket]
	if !ok {
		return Decisions{}
	}
	delete(c.attempts, rep.Ticket)
	c.queue.releaseSlot(a.ticket.Organisation, chargedWork(now, a.upstream, rep))
	c.recordResult(now, a.upstream, rep)
	delete(a.upstream.inFlight, rep.Ticket)
	return c.dispatchWaiting(now, Decisions{})
}

// chargedWork returns what a request took, in typical requests of its runner, so that
// the runner's speed does not count.
func chargedWork(now time.Time, u *upstreamState, rep AttemptReport) float64 {
	if rep.Result != Responded || u.samples == 0 {
		return 1
	}
	took := now.Sub(u.inFlight[rep.Ticket]).Seconds()
	return min(maxWorkCharge, took/max(u.latencySeconds, minLatencySeconds))
}

func (c *Dispatcher) recordResult(now time.Time, u *upstreamState, rep AttemptReport) {
	latency := now.Sub(u.inFlight[rep.Ticket])
	switch rep.Result {
	case Responded:
		u.recordSuccess(now, latency)
	case ServerError:
		u.consecutiveServerErrors++
		if u.consecutiveServerErrors >= serverErrorLimit {
			u.recordFailure(now, c.rng.Float64())
		}
	case Failed:
		u.recordFailure(now, c.rng.Float64())
	case Leaving:
		u.markLeaving(now)
	case Full:
		u.blockUntil(now.Add(fullBackoff))
	}
	if rep.ConnectionClose {
		u.markLeaving(now)
	}
}

// StartProbes returns the upstreams whose connection the driver is to probe; each
// must be followed by Probed.
func (c *Dispatcher) StartProbes(now time.Time) []kvstore.Host {
	var out []kvstore.Host
	for _, u := range c.upstreams.states {
		if u.probeDue(now) {
			u.probeInFlight = true
			out = append(out, u.host)
		}
	}
	return out
}

// FinishProbe takes a probe's end into account: whether the upstream answered, and
// whether it said Connection: close.
func (c *Dispatcher) FinishProbe(now time.Time, upstream string, alive, closing bool) Decisions {
	if u := c.upstreams.find(upstream); u != nil {
		u.recordProbe(now, alive, closing, c.rng.Float64())
	}
	return c.dispatchWaiting(now, Decisions{})
}

// Tick sheds what has waited too long and uses slots that became free by time.
func (c *Dispatcher) Tick(now time.Time) Decisions { return c.dispatchWaiting(now, Decisions{}) }

// QueueLength returns the number of waiting requests.
func (c *Dispatcher) QueueLength() int { return c.queue.length }

// dispatchWaiting sends waiting tickets to free runners.
func (c *Dispatcher) dispatchWaiting(now time.Time, d Decisions) Decisions {
	for _, t := range c.queue.removeExpired(now) {
		d = c.shed(now, d, t.ID, TooLate)
	}
	for _, u := range c.upstreams.states {
		u.applyPendingShare(now)
	}
	for {
		oq := c.queue.nextQueue()
		if oq == nil {
			return d
		}
		if !c.anyUsable() {
			d = c.shed(now, d, c.queue.dropNewestOfLongest().ID, NoUpstream)
			continue
		}
		u := c.chooseUpstream(now, oq.waiting[0])
		if u == nil {
			return d
		}
		d.Dispatches = append(d.Dispatches, c.dispatch(now, c.queue.pop(oq), u))
	}
}

func (c *Dispatcher) dispatch(now time.Time, t *Ticket, u *upstreamState) Dispatch {
	u.inFlight[t.ID] = now
	c.attempts[t.ID] = attempt{ticket: t, upstream: u}
	timeout := time.Duration(attemptTimeoutFactor * u.latencySeconds * float64(time.Second))
	return Dispatch{Ticket: t.ID, Upstream: u.host, AttemptTimeout: max(timeout, minAttemptTimeout)}
}

func (c *Dispatcher) shed(now time.Time, d Decisions, id uint64, reason ShedReason) Decisions {
	if reason != NoUpstream {
		c.lastShed = now
	}
	d.Sheds = append(d.Sheds, Shed{Ticket: id, Reason: reason})
	return d
}

// chooseUpstream returns the runner for a ticket: the free one with the smallest cost,
// unless waiting for a faster one that is busy is expected to end sooner. It
// returns nil when the ticket is to wait.
func (c *Dispatcher) chooseUpstream(now time.Time, t *Ticket) *upstreamState {
	best := c.upstreams.lowestLatencySeconds()
	chosen := c.cheapestAvailable(now, best, t.AvoidUpstreams)
	if chosen == nil && len(t.AvoidUpstreams) > 0 {
		chosen = c.cheapestAvailable(now, best, nil)
	}
	if chosen == nil {
		return nil
	}
	overloaded := now.Sub(c.lastShed) < overloadWindow && !c.lastShed.IsZero()
	if !overloaded && c.waitingIsFaster(now, best, chosen.expectedSeconds(now, best)) {
		return nil
	}
	return chosen
}

func (c *Dispatcher) cheapestAvailable(now time.Time, best float64, avoid []string) *upstreamState {
	var chosen *upstreamState
	lowest := math.Inf(1)
	ties := 0
	for _, u := range c.upstreams.states {
		if !u.available(now) || slices.Contains(avoid, u.host.Name) {
			continue
		}
		cost := u.cost(now, best)
		switch {
		case cost < lowest:
			chosen, lowest, ties = u, cost, 1
		case cost == lowest:
			ties++
			if c.rng.Intn(ties) == 0 {
				chosen = u
			}
		}
	}
	return chosen
}

// waitingIsFaster compares a free runner of the given duration with waiting
// for one of the busy faster runners. Everybody in the queue waits for those,
// so the longer the queue, the slower a runner is still worth using.
func (c *Dispatcher) waitingIsFaster(now time.Time, best, duration float64) bool {
	rate, sum, busy := 0.0, 0.0, 0
	for _, u := range c.upstreams.states {
		n := len(u.inFlight)
		if n == 0 || u.samples == 0 || !u.usable() || now.Before(u.blockedUntil) {
			continue
		}
		other := u.expectedSeconds(now, best)
		if other >= duration {
			continue
		}
		rate += float64(n) / max(other, minLatencySeconds)
		sum += other * float64(n)
		busy += n
	}
	if busy == 0 {
		return false
	}
	wait := float64(c.queue.length) / rate
	return wait+sum/float64(busy) < duration
}
