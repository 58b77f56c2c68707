// Package config holds the operators' documents, their checks, and their
// distribution. An Editor stores edits on the platform, each as a new revision of
// all documents; a Distributor on each entry host keeps a copy of the newest
// revision and gives it to the host's other packages as an immutable Snapshot. The
// command line uses the package to read and check documents.
package config

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
)

// Kind names a kind of document.
type Kind string

// The kinds of document.
const (
	KindOrganisation  Kind = "organisation"
	KindService       Kind = "service"
	KindFailureDomain Kind = "failure-domain"
)

// Organisation is an organisation with its teams and guarantees. Of its callers'
// tokens it holds only the SHA-256 hashes, in lower-case hexadecimal.
type Organisation struct {
	Name        string      `json:"name"`
	TokenHashes []string    `json:"tokenHashes"`
	Teams       []Team      `json:"teams"`
	Guarantees  []Guarantee `json:"guarantees"`
}

// Team is a part of an organisation with a quota of accelerators.
type Team struct {
	Name  string `json:"name"`
	Quota int    `json:"quota"` // most accelerators in use at once; 0: no quota
}

// Guarantee promises an organisation Count copies of a shape in one failure domain.
type Guarantee struct {
	FailureDomain string    `json:"failureDomain"`
	Shape         job.Shape `json:"shape"`
	Count         int       `json:"count"`
}

// Service defines which jobs and requests a service may run, and for whom.
type Service struct {
	Name         string        `json:"name"`
	Organisation string        `json:"organisation"`
	Team         string        `json:"team"`
	Jobs         []JobTemplate `json:"jobs"`
	Requests     *Requests     `json:"requests,omitempty"` // nil: the service takes no requests
}

// JobTemplate limits the jobs that a service may submit under it.
type JobTemplate struct {
	Name        string    `json:"name"`
	Shape       job.Shape `json:"shape"`       // largest shape of a job of this template
	RunSeconds  int       `json:"runSeconds"`  // expected run time
	Checkpoint  bool      `json:"checkpoint"`  // tasks can save their work when asked
	Urgent      bool      `json:"urgent"`      // jobs may be submitted as urgent
	MaxFailures int       `json:"maxFailures"` // failed runs before the job itself fails
}

// Requests defines how a service's short requests are handled.
type Requests struct {
	TimeoutMillis     int      `json:"timeoutMillis"`
	IdempotentMethods []string `json:"idempotentMethods"` // methods that may be sent again
	ShareWith         []string `json:"shareWith"`         // other organisations that may call
}

// Timeout returns the longest a request may take.
func (r Requests) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// FailureDomain is a failure domain and whether operators have taken it out of
// service.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

// Snapshot is every document at one revision. It is immutable once published;
// readers share it without locks.
type Snapshot struct {
	Revision       uint64 // grows with every accepted edit; 0: no revision read yet
	Organisations  map[string]Organisation
	Services       map[string]Service
	FailureDomains map[string]FailureDomain
	Retired        map[string]uint64 // service name to the revision that retired it; names are never reused

	RetiredServices map[string]Service // last documents of retired services
}

// Source provides the newest snapshot that a host has.
// It is safe for concurrent use.
type Source interface {
	// Current returns the newest snapshot, never nil, and when the platform last
	// confirmed it as the newest: the local time before that read was sent.
	Current() (snap *Snapshot, confirmed time.Time)
	// Changed returns a channel that is closed when a newer snapshot is in force.
	Changed() <-chan struct{}
}
