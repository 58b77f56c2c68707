// Package cost measures what control costs one entry host. It holds only
// benchmarks: they run cyclamentrayd as processes against stand-ins at growing
// sizes and report processor time, bytes and memory of one process.
package cost
