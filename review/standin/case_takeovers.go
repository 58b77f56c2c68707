//go:build review

package main

import (
	"os"
	"syscall"
	"time"
)

// takeovers checks rule LOST. A runner crashes, and eight seconds later the leading
// host's process is killed. finish_s after the job was submitted, its lost task must not
// be left undone for three seconds while five runners are empty. CRASH=only leaves the
// kill out.
func takeovers(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 6, func(int) string { return "a" })
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	id := newJobID()
	work := step{Count: 6, CPU: 52_000, MemMB: 270_000, GPU: 5, EstimatedMS: 3000}
	submitted, err := d.submit(d.hosts[0], id, work)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if len(log.startsOf(id)) != work.Count {
		return false, errSetup
	}
	if trouble {
		d.runners[5].crash()
		if os.Getenv("CRASH") != "only" {
			go d.killLeader(submitted.Add(9 * time.Second))
		}
	}
	return d.watchIdle(id, work, submitted) < idleBound, nil
}

// killLeader kills the leading host's process at the given time and starts it again after
// 0.7 s.
func (d *deployment) killLeader(at time.Time) {
	time.Sleep(time.Until(at))
	h := d.leader()
	if h == nil {
		d.log.printf("no host leads")
		return
	}
	d.signal(h, syscall.SIGKILL)
	<-h.ended
	time.Sleep(700 * time.Millisecond)
	if err := d.start(h); err != nil {
		d.log.printf("start of %s failed: %v", h.name, err)
	}
}

func (d *deployment) anyReady() *host {
	for _, h := range d.hosts {
		if d.ready(h) {
			return h
		}
	}
	return d.hosts[0]
}

// isRunning reports whether any runner runs a task of the job.
func (d *deployment) isRunning(job string) bool {
	for _, r := range d.runners {
		if r.runsOf(job) > 0 {
			return true
		}
	}
	return false
}
