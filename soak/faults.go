package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/platform/standin"
	"github.com/cyclamentray/cyclamentray/standin/faultproxy"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

// fault is one kind of fault. inject starts it and returns the function that ends
// it.
type fault struct {
	name   string
	inject func(d *deployment, rng *rand.Rand) (end func())
}

// noop is the end of faults that need no cleanup.
func noop() {}

var faults = []fault{
	{"kill host", onHost(func(h *hostProcess, _ *rand.Rand) func() { h.signal(syscall.SIGKILL); return noop })},
	{"stop host", onHost(func(h *hostProcess, _ *rand.Rand) func() { h.signal(syscall.SIGTERM); return noop })},
	{"reload host", onHost(func(h *hostProcess, _ *rand.Rand) func() { h.signal(syscall.SIGHUP); return noop })},
	{"pause host", onHost(func(h *hostProcess, _ *rand.Rand) func() {
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	})},
	{"store link", onHost(func(h *hostProcess, rng *rand.Rand) func() {
		h.disrupt(true)
		end := injectLinkFault(h.storeProxy, rng)
		return func() { end(); h.disrupt(false) }
	})},
	{"runner link", onRunner(func(_ *deployment, r *proxiedRunner, rng *rand.Rand) func() { return injectLinkFault(r.proxy, rng) })},
	{"runner crash", onRunner(crashRunner)},
	{"runner leaves", onRunner(drainRunner)},
	{"runner hangs", onRunner(func(d *deployment, r *proxiedRunner, _ *rand.Rand) func() {
		set := func(on bool) {
			d.runnerServer.WithPool(func(_ steady.Time, p *runner.Pool) { p.Runner(r.id).Hangs = on })
		}
		set(true)
		return func() { set(false) }
	})},
	{"store away", func(d *deployment, _ *rand.Rand) func() {
		d.setFault(func(keyspace.Call) keyspace.Outcome { return keyspace.Refused })
		return func() { d.setFault(nil) }
	}},
	{"answers lost", func(d *deployment, rng *rand.Rand) func() {
		seed := rng.Uint64()
		n := uint64(0)
		d.setFault(func(c keyspace.Call) keyspace.Outcome {
			n++
			if !c.Write || (seed+n*2654435761)%3 != 0 {
				return keyspace.Served
			}
			return []keyspace.Outcome{keyspace.AnswerLost, keyspace.AnswerLostAppliedLate}[n%2]
		})
		return func() { d.setFault(nil) }
	}},
	{"history gone", func(d *deployment, _ *rand.Rand) func() { d.store.Compact(); return noop }},
	{"odd entry", func(d *deployment, rng *rand.Rand) func() {
		key := platform.RunnerPrefix + "odd"
		d.writeKey(key, [][]byte{{0, 255}, []byte("{}"), []byte(`{"address":7}`)}[rng.IntN(3)])
		return func() { d.deleteKey(key) }
	}},
	{"evacuation", evacuate},
}

// evacuate takes a failure domain out of service until the end of the fault.
func evacuate(d *deployment, rng *rand.Rand) func() {
	domain := fmt.Sprintf("fd-%d", rng.IntN(failureDomains))
	d.setEvacuation(domain, true)
	return func() { d.setEvacuation(domain, false) }
}

// setEvacuation requests the evacuation of a failure domain, or its end. The checker learns
// of changes in the order of the store.
func (d *deployment) setEvacuation(domain string, out bool) {
	d.evacuations.Lock()
	defer d.evacuations.Unlock()
	if out {
		d.writeKey(standin.EvacuationKey(domain), []byte("{}"))
	} else {
		d.deleteKey(standin.EvacuationKey(domain))
	}
	d.checker.RecordEvacuation(domain, out, steady.Now())
}

func onHost(f func(*hostProcess, *rand.Rand) func()) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() { return f(d.hosts[rng.IntN(len(d.hosts))], rng) }
}

func onRunner(f func(*deployment, *proxiedRunner, *rand.Rand) func()) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() { return f(d, d.runners[rng.IntN(len(d.runners))], rng) }
}

// injectLinkFault injects one random fault into a proxy: delays or drops the bytes
// of one direction, freezes one direction of open connections, closes open
// connections, or also refuses new ones. It returns the function that ends it.
func injectLinkFault(p *faultproxy.Proxy, rng *rand.Rand) func() {
	direction := faultproxy.Direction(rng.IntN(2))
	switch rng.IntN(5) {
	case 0:
		p.SetFault(direction, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Delay: time.Duration(20+rng.IntN(300)) * time.Millisecond})
	case 1:
		p.SetFault(direction, faultproxy.Fault{CutAfterBytes: faultproxy.NoCut, Blackhole: true})
	case 2:
		p.FreezeOpenConnections(direction)
	case 3:
		p.CloseOpenConnections()
	default:
		p.RefuseNewConnections(true)
		p.CloseOpenConnections()
	}
	return func() {
		p.RefuseNewConnections(false)
		p.ClearFaults()
	}
}

// crashRunner crashes a runner; the end of the fault reboots it under its id.
func crashRunner(d *deployment, r *proxiedRunner, _ *rand.Rand) func() {
	d.removeEntryByEarlierClock(r)
	d.setRunnerState(r, true, false)
	d.runnerServer.WithPool(func(now steady.Time, p *runner.Pool) { p.Crash(now, r.id) })
	return func() { d.rebootRunner(r) }
}

// drainRunner has a runner announce that it drains. The end of the fault removes
// the runner and reboots it.
func drainRunner(d *deployment, r *proxiedRunner, _ *rand.Rand) func() {
	if err := d.announceDrain(r); err != nil {
		return noop // the drain was not announced, so the runner stays
	}
	return func() {
		d.runnerServer.WithPool(func(now steady.Time, p *runner.Pool) { p.Crash(now, r.id) })
		d.setRunnerState(r, true, false)
		d.deleteKey(platform.RunnerPrefix + r.id)
		d.rebootRunner(r)
	}
}

func (d *deployment) announceDrain(r *proxiedRunner) error {
	d.lives.Lock()
	defer d.lives.Unlock()
	d.setRunnerState(r, false, true)
	d.mu.Lock()
	r.drainsUntil = time.Now().Add(drainTime)
	d.mu.Unlock()
	d.checker.RecordDrain(r.id, steady.Now())
	return d.writeRunnerEntry(r)
}

func (d *deployment) setRunnerState(r *proxiedRunner, down, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.down, r.draining = down, draining
	r.downSince = time.Now()
}

// setRunnerDown stops a runner's heartbeats or has them go on.
func (d *deployment) setRunnerDown(r *proxiedRunner, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.down, r.downSince = down, time.Now()
}

func (d *deployment) rebootRunner(r *proxiedRunner) {
	d.lives.Lock()
	defer d.lives.Unlock()
	d.runnerServer.WithPool(func(now steady.Time, p *runner.Pool) { p.Reboot(now, r.id) })
	d.checker.RecordBoot(r.id)
	d.setRunnerState(r, false, false)
	d.log("restarted: " + r.id)
}

// injectFaults injects random faults, which may overlap, until ctx ends. Then it
// ends all of them.
func (d *deployment) injectFaults(ctx context.Context, rng *rand.Rand, log func(string)) {
	type activeFault struct {
		until time.Time
		end   func()
	}
	var active []activeFault
	for ctx.Err() == nil {
		f := faults[rng.IntN(len(faults))]
		duration := time.Duration(500+rng.IntN(5000)) * time.Millisecond
		log(fmt.Sprintf("%s for %s", f.name, duration))
		active = append(active, activeFault{time.Now().Add(duration), f.inject(d, rng)})
		nextFault := time.Now().Add(time.Duration(200+rng.IntN(2000)) * time.Millisecond)
		for time.Now().Before(nextFault) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			remaining := active[:0]
			for _, o := range active {
				if time.Now().After(o.until) {
					o.end()
					continue
				}
				remaining = append(remaining, o)
			}
			active = remaining
		}
	}
	for _, o := range active {
		o.end()
	}
}
