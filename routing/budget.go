package routing

const (
	tokensPerFirstAttempt = 0.2 // tokens earned by each first attempt
	maxRetryTokens        = 50  // most tokens kept
)

// retryBudget bounds retries to a share of first attempts, so that a failing
// service is not sent a multiple of its load.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

func (b *retryBudget) earn() { b.tokens = min(maxRetryTokens, b.tokens+tokensPerFirstAttempt) }

// spend takes a token for one retry; it reports false when there is none.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
