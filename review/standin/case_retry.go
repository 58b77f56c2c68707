//go:build review

package main

import (
	"time"
)

// The limit of answer_lost: the share of the runners, and of the answers of one of them.
const (
	lostRunners = 0.45
	lostAnswers = 0.025
)

// retry checks rule TWICE. One of the answers of a runner is lost, to the start of a
// short task; over forty other starts there are answered. The task ends done, that end is
// taken note of, and then the runner crashes and starts again under its id. The task must
// not start once more.
func retry(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 3, func(int) string { return "a" })
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
	// Other work fills the runners in the second before: 42 tasks each.
	others := newJobID()
	if _, err := d.submit(d.hosts[0], others, step{Count: 126, CPU: 3000, MemMB: 1000, EstimatedMS: 4000}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if _, err := d.submit(d.hosts[0], id, step{Count: 1, CPU: 1000, MemMB: 1000, GPU: 1, EstimatedMS: 300}); err != nil {
		return false, err
	}
	for end := time.Now().Add(5 * time.Second); !log.isNoted(task); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false, errSetup
		}
	}
	log.printf("the end of task %s was taken note of", task)
	on := log.startsOf(id)[0].runner
	answered := 0
	for _, o := range log.startsOf(others) {
		if o.runner == on {
			answered++
		}
	}
	log.printf("the answer to at most one of %d starts at runner %s was lost, on one runner of %d", answered+1, on, len(d.runners))
	if 1/float64(answered+1) > lostAnswers || 1/float64(len(d.runners)) > lostRunners {
		return false, errSetup
	}
	if trouble {
		for _, r := range d.runners {
			if r.id == on {
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
