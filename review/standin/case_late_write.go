//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

// lateWrite checks rule UNASKED. The answer to the write of one submission is lost, and
// the store carries the write out six seconds later. The client leaves before its
// deadline and cancels the job at another host, which acknowledges that. Nothing of the
// job may start later than cancel_ms after that.
func lateWrite(log *record, trouble bool) (bool, error) {
	d, err := newDeployment(log, 3, 4, func(int) string { return "a" })
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	work := step{Count: 2, CPU: 1000, MemMB: 1000, GPU: 1, EstimatedMS: 4000}
	id := newJobID()
	if trouble {
		lost := false
		d.store.setLoss(6*time.Second, func(firstKey string) bool {
			hit := !lost && strings.HasSuffix(firstKey, id)
			lost = lost || hit
			return hit
		})
		time.AfterFunc(time.Second, func() { d.store.setLoss(0, nil) })
	}
	// Two other jobs are submitted in the same second, and their writes are answered.
	for i := range 2 {
		if _, err := d.submit(d.hosts[i], newJobID(), work); err != nil {
			return false, err
		}
	}
	status, _ := d.callFor(300*time.Millisecond, d.hosts[1], http.MethodPost, prefix+id, jobBody(work))
	if trouble && status != 0 {
		return false, errSetup
	}
	time.Sleep(100 * time.Millisecond)
	cancelStatus, _ := d.call(d.hosts[2], http.MethodDelete, prefix+id, nil)
	cancelled := time.Now()
	if cancelStatus != http.StatusOK && cancelStatus != http.StatusGone {
		return false, errSetup
	}
	time.Sleep(9 * time.Second)
	held := true
	for _, s := range log.startsOf(id) {
		if after := s.at.Sub(cancelled); after > cancelBound {
			log.printf("task %s started %.1f s after its job's cancelling was acknowledged with %d", s.task, after.Seconds(), cancelStatus)
			held = false
		}
	}
	d.call(d.hosts[2], http.MethodGet, prefix+id, nil)
	return held, nil
}

// cancelBound is cancel_ms of the pages.
const cancelBound = 3 * time.Second
