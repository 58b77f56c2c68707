// Package docs holds tests that check the pages under docs against the code: named
// tests and linked files must exist.
package docs
