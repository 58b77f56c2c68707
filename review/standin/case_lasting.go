//go:build review

package main

import (
	"fmt"
	"time"
)

// lasting checks rule LOST for a task that lasts. Urgent jobs keep the service full. A
// task of a long-running job fails by itself; it must run again within nine seconds.
func lasting(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 4, func(int) string { return "a" })
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	id := newJobID()
	if _, err := d.submit(d.hosts[0], id, step{Count: 2, CPU: 8000, MemMB: 16_000, GPU: 4, EstimatedMS: 1000, LongRunning: true}); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if len(log.startsOf(id)) != 2 {
		return false, errSetup
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.keepFull(stop)
	time.Sleep(4 * time.Second)
	task := id + ".0.0.0"
	failed := time.Now()
	if trouble {
		found := false
		for _, r := range d.runners {
			found = found || r.fail(task)
		}
		if !found {
			return false, errSetup
		}
	}
	// The task may be away for 6 s, and for 3 s more.
	const away = 9 * time.Second
	held, starts := true, len(log.startsOf(id))
	for time.Since(failed) < 15*time.Second {
		time.Sleep(20 * time.Millisecond)
		if trouble && held && len(log.startsOf(id)) == starts && time.Since(failed) > away {
			log.printf("task %s has not run for %.1f s since it failed", task, time.Since(failed).Seconds())
			held = false
		}
	}
	log.printf("%d starts of the job's tasks", len(log.startsOf(id)))
	return held, nil
}

// keepFull submits urgent jobs, four at once and then one every 0.8 s.
func (d *deployment) keepFull(stop <-chan struct{}) {
	work := step{Count: 3, CPU: 8000, MemMB: 16_000, GPU: 4, EstimatedMS: 2500}
	for n := 0; ; n++ {
		if n >= 4 {
			select {
			case <-stop:
				return
			case <-time.After(800 * time.Millisecond):
			}
		}
		if _, err := d.submitTo(d.hosts[n%len(d.hosts)], urgentPrefix, newJobID(), work); err != nil {
			d.log.printf("%s", fmt.Sprint(err))
		}
	}
}
