// Package integration holds tests that run entry hosts as real processes,
// behind a fault-injecting proxy, against stand-ins in the test's own process.
package integration
