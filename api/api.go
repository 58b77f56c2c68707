// Package api defines the messages and header names of an entry host's HTTP
// interface that are shared by several packages. The entry host writes them; the
// client and the command line read them. It holds no state.
package api

import (
	"encoding/json"
	"time"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/job"
)

// Names of HTTP headers.
const (
	HeaderOutcome        = "Cyclamentray-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ApplyRequest asks to put documents in force atomically.
type ApplyRequest struct {
	Documents []json.RawMessage `json:"documents"`        // each with its "kind"
	Expected  uint64            `json:"expectedRevision"` // revision that must be in force; 0: any
}

// ConfigReply is the configuration in force on the host that answers.
type ConfigReply struct {
	Revision  uint64            `json:"revision"`
	Documents []config.Document `json:"documents"`
	Retired   map[string]uint64 `json:"retired"` // service to the revision that retired it
}

// EditReply is the reply to an accepted edit.
type EditReply struct {
	Revision uint64 `json:"revision"` // at which the edit was accepted
}

// Explanation is the reply to a request for why a job is waiting or how it ended.
type Explanation struct {
	Record        job.Record       `json:"record"`
	FailureDomain string           `json:"failureDomain"`
	Why           string           `json:"why"`
	History       []job.Transition `json:"history"` // oldest first
}

// JobList holds the jobs that the caller may see, ordered by identity.
type JobList struct {
	Jobs []job.Record `json:"jobs"`
}

// HostStatus is the status of one entry host as the host itself reports it.
type HostStatus struct {
	Name              string        `json:"name"`
	FailureDomain     string        `json:"failureDomain"`
	Revision          uint64        `json:"revision"`            // configuration in force on the host
	ConfirmedAge      time.Duration `json:"confirmedAgeNanos"`   // since the platform last confirmed Revision
	Term              uint64        `json:"term,omitempty"`      // term under which the host is the scheduler; 0: it is not
	Draining          bool          `json:"draining,omitempty"`  // the host is shutting down
	HeartbeatAge      time.Duration `json:"heardAgeNanos"`       // since its last heartbeat; 0: none received, or the answering host itself
	UnreachableReason string        `json:"unreached,omitempty"` // why a peer did not answer
}

// Top is the state of the whole deployment as one entry host sees it.
type Top struct {
	Hosts          []HostStatus          `json:"hosts"`
	FailureDomains []FailureDomainStatus `json:"failureDomains"`
}

// FailureDomainStatus sums up the workers and jobs of a failure domain.
type FailureDomainStatus struct {
	Name         string `json:"name"`
	Out          bool   `json:"out"` // taken out of service by an operator
	Workers      int    `json:"workers"`
	Accelerators int    `json:"accelerators"`
	Queued       int    `json:"queued"`              // jobs
	Running      int    `json:"running"`             // jobs placed, running or stopping
	Scheduler    string `json:"scheduler,omitempty"` // entry host that holds the term; empty: none is known

	// Deficits lists the guarantees that the available hardware cannot satisfy, and why.
	Deficits []string `json:"deficits,omitempty"`
	// UnknownReason is why jobs and deficits are unknown; empty: they are known.
	UnknownReason string `json:"unknown,omitempty"`
}
