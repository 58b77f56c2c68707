// Package election decides which entry host schedules a failure domain, by a
// lease in the platform's service whose entry version is the fencing term.
package election

import "time"

// Holder tells whether this host is its failure domain's scheduler.
// It is safe for concurrent use.
type Holder interface {
	// Term returns the fencing term and the local monotonic time until which it
	// surely holds. held is false when this host must not act.
	Term() (term uint64, until time.Time, held bool)
}
