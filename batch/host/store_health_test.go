package host

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const healthStart = steady.Time(time.Hour)

// A host stops taking callers as soon as it would refuse them, and takes them again
// with the first answer of the store.
func TestHostLeavesRotationWhileItWouldRefuse(t *testing.T) {
	var s storeHealth
	must.False(t, s.knownLost(healthStart))
	s.recordLoss(healthStart)
	s.recordLoss(healthStart.Add(200 * time.Millisecond)) // a later failure doesn't restart the wait
	must.True(t, s.knownLost(healthStart.Add(201*time.Millisecond)))
	s.recordAnswer()
	must.False(t, s.knownLost(healthStart.Add(201*time.Millisecond)))
}

// A single reset connection is followed by an answer and changes nothing.
func TestHostStaysInRotationAfterOneFailedRead(t *testing.T) {
	var s storeHealth
	s.recordLoss(healthStart)
	must.False(t, s.knownLost(healthStart.Add(100*time.Millisecond)))
	s.recordAnswer()
	must.False(t, s.knownLost(healthStart.Add(time.Second)))
}
