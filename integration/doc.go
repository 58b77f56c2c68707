// Package integration tests entry hosts as separate processes, behind
// fault-injecting proxies, against stand-ins for the platform, workers and
// upstreams. The stand-ins run in the test's process, which holds their state;
// only the end-to-end test runs them as processes too. Nothing imports the
// package.
package integration
