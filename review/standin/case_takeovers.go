//go:build review

package main

import (
	"os"
	"syscall"
	"time"
)

// takeovers checks rule LOST. A runner crashes, and eight seconds later the leading
// host's process is killed. finish_s after the job was submitted, its lost task must not
// be left undone for three seconds while three runners are empty. CRASH=only leaves the
// kill out.
func takeovers(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 4, func(int) string { return "a" })
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	id := newJobID()
	submitted, err := d.submit(d.hosts[0], id, step{Count: 4, CPU: 52_000, MemMB: 270_000, GPU: 5, EstimatedMS: 3000})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if len(log.startsOf(id)) != 4 {
		return false, errSetup
	}
	if trouble {
		d.runners[3].crash()
		if os.Getenv("CRASH") != "only" {
			go d.killLeader(submitted.Add(9 * time.Second))
		}
	}
	// The job is asked for finish_s after it was submitted, and watched for six seconds
	// longer.
	time.Sleep(time.Until(submitted.Add(finish)))
	var idleSince time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.isRunning(id) || log.endsOf(id) >= 4 {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	status, _ := d.call(d.anyReady(), "GET", prefix+id, nil)
	log.printf("job %s from %.0f s on: nothing of it ran for %.1f s on end; %d of 4 tasks done; three runners are empty; state answered with %d",
		id, finish.Seconds(), longest.Seconds(), log.endsOf(id), status)
	return longest < 3*time.Second, nil
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
