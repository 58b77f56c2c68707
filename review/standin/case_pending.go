//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// pendingCount checks rule MIXED. The only runner with a job's label refuses starts
// with 503 for some seconds. The job hasn't begun then, so the queue's count of jobs
// that haven't begun must include it.
func pendingCount(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 10, func(i int) string {
		if i == 9 {
			return "b"
		}
		return "a"
	})
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	if trouble {
		r := d.runners[9]
		r.mu.Lock()
		r.busyUntil = time.Now().Add(6500 * time.Millisecond)
		r.mu.Unlock()
		log.printf("runner %s answers starts with 503 for 6.5 s", r.id)
	}
	id := newJobID()
	accepted, err := d.submit(d.hosts[1], id, step{Count: 1, CPU: 1000, MemMB: 1000, GPU: 1, EstimatedMS: 2000, Requirements: "b"})
	if err != nil {
		return false, err
	}
	held := true
	const visible = 3*time.Second + 2*time.Second // visible_ms + 2 s
	for time.Since(accepted) < visible+2*time.Second {
		time.Sleep(150 * time.Millisecond)
		for _, h := range d.hosts {
			asked := time.Now()
			status, text := d.call(h, http.MethodGet, prefix, nil)
			var body struct{ Pending int }
			if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
				continue
			}
			begun := len(log.startsOf(id)) > 0
			if !begun && asked.Sub(accepted) > visible && body.Pending == 0 {
				log.printf("%s gives 0 pending; job %s was accepted %.1f s before and hasn't begun", h.name, id, asked.Sub(accepted).Seconds())
				held = false
			}
		}
	}
	if !d.awaitState(d.hosts[1], id, "completed", 15*time.Second) {
		return false, errSetup
	}
	return held, nil
}
