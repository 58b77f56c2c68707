package conditions

import (
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// outages notes when the store was away last, by the reads of a Follower. It is safe for
// concurrent use.
type outages struct {
	gap time.Duration // outages that follow one another within it count as one

	mu       sync.Mutex
	readSent steady.Time // when the read in progress was sent
	answered steady.Time // when the last read was sent that was answered; 0: none was
	since    steady.Time // when the store may have gone away; 0: before anything is known
	until    steady.Time // when a read was answered again; 0: it is away
}

// observe has the outages noted that f sees.
func (o *outages) observe(f *kvstore.Follower, now func() steady.Time) {
	lost, regained := f.Lost, f.Regained
	f.ReadStarted = func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.readSent = now()
	}
	f.ReadDone = func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.answered = o.readSent
	}
	f.Lost = func(err error) {
		o.noteLost()
		lost(err)
	}
	f.Regained = func() {
		o.noteRegained(now())
		regained()
	}
}

func (o *outages) noteLost() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until.IsZero() || o.answered.Sub(o.until) > o.gap {
		o.since = o.answered
	}
	o.until = 0
}

func (o *outages) noteRegained(now steady.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until = now
}

// last returns when the store was away last.
func (o *outages) last() (since, until steady.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since, o.until
}
