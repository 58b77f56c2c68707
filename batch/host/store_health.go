package host

import (
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// refuseAfterStoreLoss is how long the store must have been unreachable, directly
// and through peers, before the host refuses requests without a call to it: longer
// than the effect of a reset connection.
const refuseAfterStoreLoss = 200 * time.Millisecond

// storeHealth decides from the results of reads whether the host can serve
// requests that need the store. It answers cuts of single hosts and failure
// domains: as long as such a host reports ready, the load balancer sends it
// callers, and they use up their retries there while other hosts could accept
// their jobs. It is safe for concurrent use; the zero storeHealth is reachable.
type storeHealth struct {
	mu     sync.Mutex
	lostAt steady.Time // 0: the store is reachable
}

// recordLoss notes that a read failed on every way to the store.
func (s *storeHealth) recordLoss(now steady.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostAt.IsZero() {
		s.lostAt = now
	}
}

// recordAnswer notes that the store has answered.
func (s *storeHealth) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt = 0
}

// knownLost reports whether a request would be refused now. The host then also
// reports not ready; it is ready again with the first answer.
func (s *storeHealth) knownLost(now steady.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lostAt.IsZero() && now.Sub(s.lostAt) > refuseAfterStoreLoss
}
