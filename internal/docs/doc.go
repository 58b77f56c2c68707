// Package docs holds tests that check the pages under docs against the code: named
// tests and linked files must exist. It has no other code and no state.
package docs
