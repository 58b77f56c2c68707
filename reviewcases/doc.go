// Package reviewcases runs the cases of the folder review against the programs of this
// tree. It holds tests only, and no state; test.sh runs it by itself, as the cases
// measure times.
package reviewcases
