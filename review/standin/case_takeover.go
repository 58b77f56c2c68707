//go:build review

package main

import (
	"bytes"
	"syscall"
	"time"
)

// slowStore is platform_slow with x = 60: sixty times the store's 4 ms.
const (
	slowStore    = 60 * storeLatency
	slowStoreFor = 4500 * time.Millisecond
)

// takeover checks rule LOST. The leading host's process is killed while the store is
// slow. A job is accepted while the next leader reads the records; nothing else happens
// afterwards. The job must run.
func takeover(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 4, func(int) string { return "a" })
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	work := step{Count: 2, CPU: 1000, MemMB: 1000, GPU: 1, EstimatedMS: 1000}
	first := newJobID()
	if _, err := d.submit(d.hosts[0], first, work); err != nil {
		return false, err
	}
	if !d.awaitState(d.hosts[0], first, "completed", 10*time.Second) {
		return false, errSetup
	}
	time.Sleep(contact)
	old := d.leader()
	if old == nil {
		return false, errSetup
	}
	caller := d.hosts[0]
	if caller == old {
		caller = d.hosts[1]
	}
	if trouble {
		log.printf("the store answers after %s for %s", slowStore, slowStoreFor)
		d.store.setLatency(slowStore)
		time.AfterFunc(slowStoreFor, func() {
			d.store.setLatency(storeLatency)
			log.printf("the store answers after %s again", storeLatency)
		})
		time.Sleep(300 * time.Millisecond)
		before, _ := d.store.value("batch/leader")
		d.signal(old, syscall.SIGKILL)
		<-old.ended
		time.Sleep(700 * time.Millisecond)
		if err := d.start(old); err != nil {
			return false, err
		}
		if !d.awaitRecordsRead(before, 8*time.Second) {
			return false, errSetup
		}
	}
	second := newJobID()
	accepted, err := d.submit(caller, second, work)
	if err != nil {
		return false, err
	}
	held := d.watchIdle(second, work, accepted) < idleBound
	if !held {
		if _, err := d.submit(caller, newJobID(), work); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		log.printf("a second after another job was submitted: %d starts of job %s", len(log.startsOf(second)), second)
	}
	return held, nil
}

// awaitRecordsRead waits until a host has taken over from the one that the given value
// names, and has begun to read the records.
func (d *deployment) awaitRecordsRead(before []byte, limit time.Duration) bool {
	var changed time.Time
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		value, found := d.store.value("batch/leader")
		if !found || bytes.Equal(value, before) {
			continue
		}
		if changed.IsZero() {
			changed = time.Now()
		}
		at, by := d.store.lastListed()
		if next := d.leader(); next != nil && by == next.name && at.After(changed.Add(-50*time.Millisecond)) {
			d.log.printf("%s has taken over and reads the records", by)
			return true
		}
	}
	return false
}
