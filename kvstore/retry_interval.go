package kvstore

import "time"

const (
	// retryShare is the part of RetryInterval that each host of a deployment adds,
	// so that all hosts together retry some 250 times a second.
	retryShare = 4 * time.Millisecond

	minRetryInterval = 80 * time.Millisecond
	maxRetryInterval = 250 * time.Millisecond // changes must be seen well within two seconds of the store's recovery
)

// RetryInterval returns how often each of the given number of hosts may retry
// while the store is away. Callers are refused until a retry succeeds, so few hosts
// retry often; many hosts must not exhaust the store's rate as it comes back.
func RetryInterval(hosts int) time.Duration {
	return min(max(time.Duration(hosts)*retryShare, minRetryInterval), maxRetryInterval)
}
