// Package crowd holds the tests of a batch host against crowds of clients that do
// not behave: that send large bodies, headers or messages, stop short of their end
// and keep their connections open. Each test starts one host process with low limits
// against a stand-in of the store, and checks what does not depend on the machine's
// speed: the process lives, its memory and descriptors stay within its limits, and
// an ordinary request is answered while the crowd's connections are still open.
// The package has no code besides its tests.
package crowd
