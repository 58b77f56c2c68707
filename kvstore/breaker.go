package kvstore

import "time"

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxDoublings keeps the shift below within range.
	maxDoublings = 10
)

// circuitBreaker is whether the platform answers, and until when calls that are not
// urgent are held back. Its zero value is a platform that answers.
type circuitBreaker struct {
	failures int // in a row
	retryAt  time.Time
}

func (h *circuitBreaker) down() bool { return h.failures > 0 }

func (h *circuitBreaker) recordAnswer() { *h = circuitBreaker{} }

// recordFailure holds calls back for a time that grows with the failures in a row.
// random is in [0, 1): hosts that recordFailure together must not return together.
func (h *circuitBreaker) recordFailure(now time.Time, random float64) {
	retryAt := now.Add(backoff(h.failures, random))
	h.failures++
	if retryAt.After(h.retryAt) {
		h.retryAt = retryAt
	}
}

// allow reports whether a call that is not urgent may go out. While the
// platform is down it lets one through after each back-off.
func (h *circuitBreaker) allow(now time.Time) bool {
	if !h.down() {
		return true
	}
	if now.Before(h.retryAt) {
		return false
	}
	h.retryAt = now.Add(callTimeout)
	return true
}

// backoff returns the wait before try number n, counted from 0.
func backoff(attempt int, random float64) time.Duration {
	limit := min(firstBackoff<<min(attempt, maxDoublings), maxBackoff)
	half := limit / 2
	return half + time.Duration(random*float64(half))
}
