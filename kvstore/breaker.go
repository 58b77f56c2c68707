package kvstore

import "time"

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxDoublings keeps the shift in backoff within the range of a Duration.
	maxDoublings = 10
)

// circuitBreaker records whether the platform answers, and until when calls that
// are not urgent are held back. Its zero value stands for a platform that answers.
// It is not safe for concurrent use.
type circuitBreaker struct {
	failures int // consecutive
	retryAt  time.Time
}

func (b *circuitBreaker) down() bool { return b.failures > 0 }

func (b *circuitBreaker) recordAnswer() { *b = circuitBreaker{} }

// recordFailure holds calls back for a time that grows with the number of
// consecutive failures. random is in [0, 1) and adds jitter, so that hosts that
// failed at the same time do not all retry at the same time.
func (b *circuitBreaker) recordFailure(now time.Time, random float64) {
	retryAt := now.Add(backoff(b.failures, random))
	b.failures++
	if retryAt.After(b.retryAt) {
		b.retryAt = retryAt
	}
}

// allow reports whether a call that is not urgent may be sent. While the platform
// is down it lets one call through after each back-off, and the next one
// callTimeout later at the earliest.
func (b *circuitBreaker) allow(now time.Time) bool {
	if !b.down() {
		return true
	}
	if now.Before(b.retryAt) {
		return false
	}
	b.retryAt = now.Add(callTimeout)
	return true
}

// backoff returns the wait before an attempt, counted from 0: half of the
// exponential back-off, plus a random part of the other half.
func backoff(attempt int, random float64) time.Duration {
	limit := min(firstBackoff<<min(attempt, maxDoublings), maxBackoff)
	half := limit / 2
	return half + time.Duration(random*float64(half))
}
