//go:build review

package main

import (
	"time"
)

// retry checks rule TWICE. The answer to a start is lost. The task ends done, that end is
// taken note of, and then the runner crashes and starts again under its id. The task must
// not start once more.
func retry(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 2, func(int) string { return "a" })
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	id := newJobID()
	task := id + ".0.0.0"
	if trouble {
		for _, r := range d.runners {
			lost := false
			r.losesAnswer = func(started string) bool {
				hit := !lost && started == task
				lost = lost || hit
				return hit
			}
		}
	}
	if _, err := d.submit(d.hosts[0], id, step{Count: 1, CPU: 1000, MemMB: 1000, GPU: 1, EstimatedMS: 300}); err != nil {
		return false, err
	}
	for end := time.Now().Add(5 * time.Second); !log.isNoted(task); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false, errSetup
		}
	}
	log.printf("the end of task %s was taken note of", task)
	if trouble {
		for _, r := range d.runners {
			if r.id == log.startsOf(id)[0].runner {
				r.restart(450 * time.Millisecond)
			}
		}
	}
	time.Sleep(5 * time.Second)
	d.call(d.hosts[1], "GET", prefix+id, nil)
	again := log.startsAfterDone(id)
	for _, s := range again {
		log.printf("runner %s started task %s at %.3f s, though a run of it had ended done and that was taken note of", s.runner, s.task, s.at.Sub(log.began).Seconds())
	}
	return len(again) == 0, nil
}
