package routing

const (
	tokensPerFirstAttempt = 0.2 // each first attempt earns this many tokens
	maxRetryTokens        = 50  // the budget starts full
)

// retryBudget is a token bucket that limits retries to a share of first attempts,
// so that retries do not multiply the load on a failing service.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// earn adds the tokens of one first attempt.
func (b *retryBudget) earn() { b.tokens = min(maxRetryTokens, b.tokens+tokensPerFirstAttempt) }

// spend takes a token for one retry; it reports false when there is none.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
