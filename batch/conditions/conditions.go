// Package conditions follows the operators' documents and the runners' entries in
// the store. It holds the configuration in force and the evacuated failure domains,
// and, while a leader asks for it, the list of runners. Each host has one
// Conditions; its leader and its job intake read it. The keys and encoding of the
// entries are given by a Format.
package conditions

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// Format defines the keys and the encoding of the entries.
type Format struct {
	OperatorPrefix string
	RunnerPrefix   string
	// DecodeDocument decodes an entry under OperatorPrefix. An entry that is not used
	// decodes to the zero Document.
	DecodeDocument func(kvstore.Item) (Document, error)
	// EvacuatedDomain returns the failure domain whose evacuation a key requests, or
	// "".
	EvacuatedDomain func(key string) string
	// DecodeRunner decodes a runner's entry, or returns why it describes no runner.
	DecodeRunner func(kvstore.Item) (batch.Runner, error)
	// RunnerID returns the ID of the runner that a key belongs to.
	RunnerID func(key string) string
}

// Document is a decoded document of the operators. At most one field is set.
type Document struct {
	Configuration   *batch.Configuration
	EvacuatedDomain string // failure domain to evacuate; empty: none
}

// watchWait is how long one watch of the store waits for changes. It is short, so
// that a silent connection is replaced within the time in which a configuration
// must be in force.
const watchWait = time.Second

// Conditions follows the operators' documents and the runners' entries. It is safe
// for concurrent use.
type Conditions struct {
	store  kvstore.Keyspace
	format Format
	log    *log.Logger

	heartbeat time.Duration // interval between two writes of a runner's entry

	outages outages

	configuration atomic.Pointer[batch.Configuration]

	mu        sync.Mutex
	evacuated map[string]bool
}

// New returns Conditions that don't follow the store yet. heartbeat is the interval
// at which runners write their entries.
func New(store kvstore.Keyspace, format Format, heartbeat time.Duration, logger *log.Logger) *Conditions {
	c := &Conditions{store: store, format: format, heartbeat: heartbeat, log: logger}
	c.outages.gap = earlierRemovalHeartbeats * heartbeat
	return c
}

var _ dispatch.Conditions = (*Conditions)(nil)

// Configuration implements dispatch.Conditions.
func (c *Conditions) Configuration() *batch.Configuration { return c.configuration.Load() }

// Evacuated implements dispatch.Conditions. The returned map is never modified.
func (c *Conditions) Evacuated() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated
}

// FollowDocuments follows the operators' documents until ctx ends.
func (c *Conditions) FollowDocuments(ctx context.Context) {
	f := kvstore.Follower{
		Store:  c.store,
		Prefix: c.format.OperatorPrefix,
		Wait:   watchWait,
		Reset:  c.resetDocuments,
		Apply:  c.applyDocuments,
	}
	c.logStoreLoss(&f)
	c.outages.observe(&f, steady.Now)
	f.Run(ctx)
}

func (c *Conditions) logStoreLoss(f *kvstore.Follower) {
	f.Lost = func(err error) { c.log.Warn("store lost", "prefix", f.Prefix, "err", err) }
	f.Regained = func() { c.log.Info("store regained", "prefix", f.Prefix) }
}

// resetDocuments replaces the documents by a list of all of them. The set of
// evacuated failure domains changes once, as a decision in between must not take a
// domain that stays evacuated for one in use.
func (c *Conditions) resetDocuments(items []kvstore.Item) {
	listed := make(map[string]bool)
	for _, item := range items {
		if domain := c.format.EvacuatedDomain(item.Key); domain != "" {
			listed[domain] = true
		}
	}
	c.updateEvacuated(func(domains map[string]bool) {
		clear(domains)
		maps.Copy(domains, listed)
	})
	for _, item := range items {
		c.applyDocument(kvstore.Event{Item: item})
	}
}

func (c *Conditions) applyDocuments(events []kvstore.Event) {
	for _, e := range events {
		c.applyDocument(e)
	}
}

func (c *Conditions) applyDocument(e kvstore.Event) {
	if domain := c.format.EvacuatedDomain(e.Key); domain != "" {
		c.updateEvacuated(func(domains map[string]bool) { setMember(domains, domain, !e.Deleted) })
		c.log.Info("evacuation", "failure-domain", domain, "out", !e.Deleted, "revision", e.Revision)
		return
	}
	if e.Deleted {
		return
	}
	document, err := c.format.DecodeDocument(e.Item)
	if err != nil {
		c.log.Error("document can't be decoded; keeping the one in force", "key", e.Key, "revision", e.Revision, "err", err)
		return
	}
	if document.Configuration != nil {
		c.applyConfiguration(document.Configuration)
	}
}

// applyConfiguration puts a configuration in force unless the one in force is as
// new or newer.
func (c *Conditions) applyConfiguration(config *batch.Configuration) {
	if current := c.configuration.Load(); current != nil && current.Revision >= config.Revision {
		return
	}
	c.configuration.Store(config)
	c.log.Info("configuration in force", "version", config.Version, "revision", config.Revision,
		"queues", len(config.Queues), "organisations", len(config.Organisations))
}

// updateEvacuated applies change to a copy of the set of evacuated failure domains,
// since callers of Evacuated may still read the old one.
func (c *Conditions) updateEvacuated(change func(map[string]bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]bool, len(c.evacuated)+1)
	for domain := range c.evacuated {
		next[domain] = true
	}
	change(next)
	c.evacuated = next
}

func setMember(set map[string]bool, name string, in bool) {
	if in {
		set[name] = true
		return
	}
	delete(set, name)
}
