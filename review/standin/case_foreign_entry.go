//go:build review

package main

import (
	"time"
)

// Bounds of the pages that several cases use.
const (
	contact = 3 * time.Second  // contact_ms
	finish  = 14 * time.Second // finish_s

	idleBound = 3 * time.Second // of LOST: a job may have nothing running for less than this
)

// foreignEntry checks rule LOST. Another writer overwrites the entry of each runner
// once with bytes that can't be read; the runner's next heartbeat restores it. A job
// that is accepted later must run.
func foreignEntry(log *record, trouble bool) (bool, error) {
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
	if trouble {
		for _, r := range d.runners {
			r.awaitBeat() // the entry stays for over a second then
			log.printf("another writer puts unreadable bytes at servers/%s", r.id)
			d.store.write(map[string][]byte{"servers/" + r.id: {0xff, 0xfe, 0x00, 0x7b}})
		}
	}
	time.Sleep(heartbeat + contact + time.Second) // every entry is restored by a heartbeat, and all is calm
	second := newJobID()
	accepted, err := d.submit(d.hosts[1], second, work)
	if err != nil {
		return false, err
	}
	return d.watchIdle(second, work, accepted) < idleBound, nil
}
