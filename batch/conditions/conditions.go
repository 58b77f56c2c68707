// Package conditions follows what operators and runners say in the store. How
// their entries are written is given from outside.
package conditions

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// Format is how the entries are named and written.
type Format struct {
	OperatorPrefix string
	RunnerPrefix   string
	// DecodeDocument decodes an operator's entry. An entry that is not used decodes to
	// the zero DecodeDocument.
	DecodeDocument func(kvstore.Item) (Document, error)
	// EvacuatedDomain returns the failure domain that a key asks to evacuate, or "".
	EvacuatedDomain func(key string) string
	// DecodeRunner decodes a runner's entry, or says why it names no runner.
	DecodeRunner func(kvstore.Item) (batch.Runner, error)
	RunnerID     func(key string) string
}

// Document is one of the operator's documents. At most one field is set.
type Document struct {
	Configuration   *batch.Configuration
	EvacuatedDomain string // failure domain
}

// watchWait is short, so that a connection that has gone silent is replaced
// within the time a configuration has to be in force.
const watchWait = time.Second

// Conditions follows the operator's documents and the runners' entries.
type Conditions struct {
	store  kvstore.Keyspace
	format Format
	log    *log.Logger

	heartbeat time.Duration

	configuration atomic.Pointer[batch.Configuration]

	mu        sync.Mutex
	evacuated map[string]bool
}

// New returns Conditions that follow nothing yet.
// Runners write their entries every heartbeat.
func New(store kvstore.Keyspace, format Format, heartbeat time.Duration, logger *log.Logger) *Conditions {
	return &Conditions{store: store, format: format, heartbeat: heartbeat, log: logger}
}

var _ dispatch.Conditions = (*Conditions)(nil)

// Configuration implements dispatch.Conditions.
func (c *Conditions) Configuration() *batch.Configuration { return c.configuration.Load() }

// Evacuated implements dispatch.Conditions. The map isn't changed later.
func (c *Conditions) Evacuated() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated
}

// FollowOperator follows the operator's documents until ctx ends.
func (c *Conditions) FollowOperator(ctx context.Context) {
	f := kvstore.Follower{
		Store:  c.store,
		Prefix: c.format.OperatorPrefix,
		Wait:   watchWait,
		Reset:  c.resetDocuments,
		Apply:  c.applyDocuments,
	}
	c.logStoreLoss(&f)
	f.Run(ctx)
}

func (c *Conditions) logStoreLoss(f *kvstore.Follower) {
	f.Lost = func(err error) { c.log.Warn("store lost", "prefix", f.Prefix, "err", err) }
	f.Regained = func() { c.log.Info("store regained", "prefix", f.Prefix) }
}

func (c *Conditions) resetDocuments(items []kvstore.Item) {
	c.updateEvacuated(func(domains map[string]bool) { clear(domains) })
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
		c.log.Error("document is unreadable; the one in force stays", "key", e.Key, "revision", e.Revision, "err", err)
		return
	}
	if document.Configuration != nil {
		c.applyConfiguration(document.Configuration)
	}
}

// applyConfiguration puts a configuration in force unless a later one already is.
func (c *Conditions) applyConfiguration(config *batch.Configuration) {
	if now := c.configuration.Load(); now != nil && now.Revision >= config.Revision {
		return
	}
	c.configuration.Store(config)
	c.log.Info("configuration in force", "version", config.Version, "revision", config.Revision,
		"queues", len(config.Queues), "organisations", len(config.Organisations))
}

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
