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

// fault is one kind of trouble. inject starts it and returns what ends it.
type fault struct {
	name   string
	inject func(d *deployment, rng *rand.Rand) (end func())
}

func nothing() {}

var faults = []fault{
	{"kill host", onHost(func(h *hostProcess, _ *rand.Rand) func() { h.signal(syscall.SIGKILL); return nothing })},
	{"stop host", onHost(func(h *hostProcess, _ *rand.Rand) func() { h.signal(syscall.SIGTERM); return nothing })},
	{"reload host", onHost(func(h *hostProcess, _ *rand.Rand) func() { h.signal(syscall.SIGHUP); return nothing })},
	{"pause host", onHost(func(h *hostProcess, _ *rand.Rand) func() {
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	})},
	{"store link", onHost(func(h *hostProcess, rng *rand.Rand) func() { return disturb(h.store, rng) })},
	{"runner link", onRunner(func(_ *deployment, r *fleetRunner, rng *rand.Rand) func() { return disturb(r.proxy, rng) })},
	{"runner crash", onRunner(crash)},
	{"runner leaves", onRunner(leave)},
	{"runner hangs", onRunner(func(d *deployment, r *fleetRunner, _ *rand.Rand) func() {
		set := func(on bool) {
			d.runners.WithPool(func(_ steady.Time, p *runner.Pool) { p.Runner(r.id).Hangs = on })
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
	{"history gone", func(d *deployment, _ *rand.Rand) func() { d.store.Compact(); return nothing }},
	{"odd entry", func(d *deployment, rng *rand.Rand) func() {
		key := platform.RunnerPrefix + "odd"
		d.put(key, [][]byte{{0, 255}, []byte("{}"), []byte(`{"address":7}`)}[rng.IntN(3)])
		return func() { d.remove(key) }
	}},
	{"evacuation", func(d *deployment, rng *rand.Rand) func() {
		domain := fmt.Sprintf("fd-%d", rng.IntN(domains))
		d.put(standin.EvacuationKey(domain), []byte("{}"))
		d.check.RecordEvacuation(domain, true, steady.Now())
		return func() {
			d.remove(standin.EvacuationKey(domain))
			d.check.RecordEvacuation(domain, false, steady.Now())
		}
	}},
}

func onHost(f func(*hostProcess, *rand.Rand) func()) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() { return f(d.hosts[rng.IntN(len(d.hosts))], rng) }
}

func onRunner(f func(*deployment, *fleetRunner, *rand.Rand) func()) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() { return f(d, d.fleet[rng.IntN(len(d.fleet))], rng) }
}

// disturb does one thing to a link: delays, silences one way, freezes what is
// open, resets or refuses.
func disturb(p *faultproxy.Proxy, rng *rand.Rand) func() {
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

// crash ends a runner without a word; it comes back under its id.
func crash(d *deployment, r *fleetRunner, _ *rand.Rand) func() {
	d.mark(r, true, false)
	d.runners.WithPool(func(now steady.Time, p *runner.Pool) { p.Crash(now, r.id) })
	return func() { d.boot(r) }
}

// leave has a runner say that it drains, go after its time, and come back.
func leave(d *deployment, r *fleetRunner, _ *rand.Rand) func() {
	d.mark(r, false, true)
	d.check.RecordDrain(r.id, steady.Now())
	if err := d.beat(r); err != nil {
		return nothing // it never leaves
	}
	return func() {
		d.runners.WithPool(func(now steady.Time, p *runner.Pool) { p.Crash(now, r.id) })
		d.mark(r, true, false)
		d.remove(platform.RunnerPrefix + r.id)
		d.boot(r)
	}
}

func (d *deployment) mark(r *fleetRunner, gone, drains bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.gone, r.drains = gone, drains
	r.silent = time.Now()
}

func (d *deployment) boot(r *fleetRunner) {
	d.runners.WithPool(func(now steady.Time, p *runner.Pool) { p.Reboot(now, r.id) })
	d.check.RecordBoot(r.id)
	d.mark(r, false, false)
}

// trouble injects faults in series that overlap, until ctx ends; then it ends
// them all.
func (d *deployment) trouble(ctx context.Context, rng *rand.Rand, log func(string)) {
	type open struct {
		until time.Time
		end   func()
	}
	var running []open
	for ctx.Err() == nil {
		f := faults[rng.IntN(len(faults))]
		lasts := time.Duration(500+rng.IntN(5000)) * time.Millisecond
		log(fmt.Sprintf("%s for %s", f.name, lasts))
		running = append(running, open{time.Now().Add(lasts), f.inject(d, rng)})
		next := time.Now().Add(time.Duration(200+rng.IntN(2000)) * time.Millisecond)
		for time.Now().Before(next) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			kept := running[:0]
			for _, o := range running {
				if time.Now().After(o.until) {
					o.end()
					continue
				}
				kept = append(kept, o)
			}
			running = kept
		}
	}
	for _, o := range running {
		o.end()
	}
}
