//go:build review

package main

import (
	"time"
)

// manyEnds checks rule TWICE. The store is down while more than 500 tasks end on one
// runner. Ends can't be recorded meanwhile, so the runner returns the first 500 again and
// again, and the others later. No task may start once more whose run has ended done.
func manyEnds(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 2, func(int) string { return "a" })
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	const tasks = 1400
	id := newJobID()
	if _, err := d.submit(d.hosts[0], id, step{Count: tasks, CPU: 180, MemMB: 700, EstimatedMS: 4000, uneven: true}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if n := len(log.startsOf(id)); n != tasks {
		log.printf("%d of %d tasks have started", n, tasks)
		return false, errSetup
	}
	if trouble {
		log.printf("the store is down for 4.5 s")
		d.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		d.store.setDown(false)
		log.printf("the store is up again")
	}
	d.awaitState(d.hosts[0], id, "completed", 25*time.Second)
	time.Sleep(2 * time.Second)
	again := log.startsAfterDone(id)
	for _, s := range again[:min(len(again), 3)] {
		log.printf("runner %s started task %s at %.3f s, though a run of it had ended done", s.runner, s.task, s.at.Sub(log.began).Seconds())
	}
	log.printf("%d tasks started again after a run of theirs had ended done", len(again))
	return len(again) == 0, nil
}
