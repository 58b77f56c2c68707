// Package api holds the messages of an entry host's HTTP interface that belong
// to no single slice.
package api

import (
	"encoding/json"
	"time"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/job"
)

// Header names of the HTTP interface.
const (
	HeaderOutcome        = "Cyclamentray-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ApplyRequest asks for documents to be put in force together.
type ApplyRequest struct {
	Documents []json.RawMessage `json:"documents"`        // each with its "kind"
	Expected  uint64            `json:"expectedRevision"` // 0: whatever is in force
}

// ConfigReply is the configuration in force on the host that answers.
type ConfigReply struct {
	Revision  uint64            `json:"revision"`
	Documents []config.Document `json:"documents"`
	Retired   map[string]uint64 `json:"retired"` // service to the revision that retired it
}

// EditReply tells the revision at which an edit was accepted.
type EditReply struct {
	Revision uint64 `json:"revision"`
}

// Explanation tells a caller why its job waits or what became of it.
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

// HostStatus is one entry host as it sees itself.
type HostStatus struct {
	Name              string        `json:"name"`
	FailureDomain     string        `json:"failureDomain"`
	Revision          uint64        `json:"revision"`            // configuration in force on the host
	ConfirmedAge      time.Duration `json:"confirmedAgeNanos"`   // since the platform last confirmed it
	Term              uint64        `json:"term,omitempty"`      // set on the failure domain's scheduler
	Draining          bool          `json:"draining,omitempty"`  // the host is shutting down
	HeartbeatAge      time.Duration `json:"heardAgeNanos"`       // since its last heartbeat
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
	Out          bool   `json:"out"`
	Workers      int    `json:"workers"`
	Accelerators int    `json:"accelerators"`
	Queued       int    `json:"queued"`
	Running      int    `json:"running"`
	Scheduler    string `json:"scheduler,omitempty"` // entry host that holds the term; empty: none is known

	// Deficits tells which guarantees the present hardware cannot back, and why.
	Deficits []string `json:"deficits,omitempty"`
	// UnknownReason tells why jobs and deficits are not known; empty: they are.
	UnknownReason string `json:"unknown,omitempty"`
}
