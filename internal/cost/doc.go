// Package cost measures the overhead of the control plane on one entry host. It
// holds only benchmarks: they run cyclamentrayd as processes against stand-ins of
// the platform and the workers at growing sizes, and report processor time, bytes
// and memory of one process.
package cost
