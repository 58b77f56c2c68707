// Package docs holds tests that keep the pages under docs true.
package docs
