package kvstore

import "time"

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxDoublings keeps the shift below within range.
	maxDoublings = 10
)

// health is whether the platform answers, and until when calls that are not
// urgent are held back. Its zero value is a platform that answers.
type health struct {
	failures int // in a row
	until    time.Time
}

func (h *health) down() bool { return h.failures > 0 }

func (h *health) answered() { *h = health{} }

// failed holds calls back for a time that grows with the failures in a row.
// random is in [0, 1): hosts that failed together must not return together.
func (h *health) failed(now time.Time, random float64) {
	until := now.Add(backoff(h.failures, random))
	h.failures++
	if until.After(h.until) {
		h.until = until
	}
}

// admit reports whether a call that is not urgent may go out. While the
// platform is down it lets one through after each back-off.
func (h *health) admit(now time.Time) bool {
	if !h.down() {
		return true
	}
	if now.Before(h.until) {
		return false
	}
	h.until = now.Add(callTimeout)
	return true
}

// backoff returns the wait before try number n, counted from 0.
func backoff(n int, random float64) time.Duration {
	limit := min(firstBackoff<<min(n, maxDoublings), maxBackoff)
	half := limit / 2
	return half + time.Duration(random*float64(half))
}
