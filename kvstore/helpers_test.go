package kvstore_test

import (
	"time"

	"github.com/shoenig/test/wait"
)

// waitFor returns a constraint for must.Wait that holds once the condition does.
func waitFor(limit time.Duration, holds func() bool) *wait.Constraint {
	return wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(limit), wait.Gap(10*time.Millisecond))
}
