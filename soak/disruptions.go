package soak

import (
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// contactTime is how long a disruption may still have effects after its end.
	contactTime = 3 * time.Second
	// lossSlack is the least time from a request's last byte to the loss of its answer that
	// counts: a request that is just read may still be lost with a connection that is closed
	// because it is idle.
	lossSlack = 200 * time.Millisecond
	allHosts  = "" // name of the disruptions of the store
)

// disruptions are the unplanned disruptions of one host, or of all.
type disruptions struct {
	active int
	ended  steady.Time // the last one; 0: none has ended
}

// RecordDisruption records that an unplanned disruption of a host, of its process or of its
// link to the store, begins or ends. They may overlap.
func (c *Checker) RecordDisruption(host string, begins bool, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.disruptions[host]
	if begins {
		d.active++
	} else {
		d.active--
		d.ended = now
	}
	c.disruptions[host] = d
}

// RecordStop records that a host is about to be told to stop by a SIGTERM.
func (c *Checker) RecordStop(host string, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppedAt[host] = now
}

// RecordAnswer records that a request on an open connection was answered.
func (c *Checker) RecordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
}

// CheckLostAnswer checks a request that a host has read whole and not answered when its
// connection ended, or when its caller gave up. Only an unplanned disruption allows that.
func (c *Checker) CheckLostAnswer(host string, sent, lost steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := sent.Add(-contactTime)
	if lost.Sub(sent) <= lossSlack || c.disruptedSince(host, since) || c.disruptedSince(allHosts, since) {
		return
	}
	if stopped, ok := c.stoppedAt[host]; ok && lost.Sub(stopped) <= gracePeriod+time.Second {
		c.addViolation("%s, told to stop %s before, left a request without an answer %s after it was sent", host, lost.Sub(stopped), lost.Sub(sent))
		return
	}
	c.addViolation("%s, undisturbed, left a request without an answer %s after it was sent", host, lost.Sub(sent))
}

// disruptedSince returns whether a host was disrupted at any time since. The caller holds mu.
func (c *Checker) disruptedSince(host string, since steady.Time) bool {
	d := c.disruptions[host]
	return d.active > 0 || d.ended.After(since)
}
