package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// maxEditTries bounds how often an edit that names no expected revision is
	// put on top of other operators' edits.
	maxEditTries = 8
	editBackoff  = 20 * time.Millisecond
)

// EditorOptions configures an Editor.
type EditorOptions struct {
	Store       kvstore.Store
	Distributor *Distributor // learns accepted edits at once
	Now         func() time.Time
	Logger      *log.Logger
	Metrics     *metrics.Set
}

// Editor makes operators' edits. An edit is accepted by one compare-and-swap of
// the manifest key. It is safe for concurrent use.
type Editor struct {
	opts    EditorOptions
	archive archive
}

// NewEditor returns an editor.
func NewEditor(opts EditorOptions) *Editor {
	opts.Now = defaults.Now(opts.Now)
	opts.Logger = defaults.Logger(opts.Logger)
	opts.Metrics = defaults.Metrics(opts.Metrics)
	return &Editor{opts: opts, archive: archive{store: opts.Store}}
}

// edit is what an operator asks for, worked out against what is in force.
type edit func(snap *Snapshot) (docs []Document, retired []string, err error)

// Apply adds or replaces documents if the configuration is still at revision
// expected, and returns the new revision. The error is an *apierr.Error.
func (e *Editor) Apply(ctx context.Context, docs []Document, expected uint64) (uint64, error) {
	return e.run(ctx, &expected, func(snap *Snapshot) ([]Document, []string, error) {
		return settleOut(docs, snap), nil, CheckDocuments(docs, snap)
	})
}

// Retire ends a service for good, on top of whatever is in force, and returns
// the revision that retired it.
func (e *Editor) Retire(ctx context.Context, service string) (uint64, error) {
	return e.run(ctx, nil, func(snap *Snapshot) ([]Document, []string, error) {
		if _, retired := snap.Retired[service]; retired {
			return nil, nil, nil
		}
		if _, ok := snap.Services[service]; !ok {
			return nil, nil, apierr.New(apierr.NotFound, "no service "+service, "list the documents with `cyclamentray documents`")
		}
		return nil, []string{service}, nil
	})
}

// SetFailureDomain takes a failure domain out or brings it back, on top of
// whatever is in force, and returns the revision.
func (e *Editor) SetFailureDomain(ctx context.Context, name string, out bool) (uint64, error) {
	return e.run(ctx, nil, func(snap *Snapshot) ([]Document, []string, error) {
		fd, ok := snap.FailureDomains[name]
		if !ok {
			return nil, nil, apierr.New(apierr.NotFound, "no failure domain "+name, "list the documents with `cyclamentray documents`")
		}
		fd.Out = out
		return []Document{{Kind: KindFailureDomain, FailureDomain: &fd}}, nil, nil
	})
}

// run tries an edit until it is accepted or refused. With an expected revision
// it never goes on top of another. Its calls are urgent: operators wait for it,
// and a failure domain may have to be out at once.
func (e *Editor) run(ctx context.Context, expected *uint64, change edit) (uint64, error) {
	ctx = kvstore.Urgent(ctx)
	for try := range maxEditTries {
		revision, err := e.try(ctx, expected, change)
		if !errors.Is(err, kvstore.ErrConflict) {
			e.count(err)
			return revision, typed(err)
		}
		if expected != nil {
			break
		}
		pause.For(ctx, time.Duration(rand.Int64N(int64(editBackoff<<try))))
	}
	err := apierr.New(apierr.Conflict, "another operator's edit was accepted first", "read the configuration again and apply your change to it")
	e.count(err)
	return 0, err
}

func (e *Editor) try(ctx context.Context, expected *uint64, change edit) (uint64, error) {
	h, version, err := e.archive.head(ctx)
	if err != nil {
		return 0, err
	}
	if expected != nil && *expected != h.Revision {
		return 0, apierr.New(apierr.Conflict,
			fmt.Sprintf("the configuration is at revision %d, not %d", h.Revision, *expected),
			"read the configuration again and apply your change to it")
	}
	base, err := e.archive.load(ctx, h, e.known())
	if err != nil {
		return 0, err
	}
	docs, retired, err := change(base.snap)
	if err != nil {
		return 0, err
	}
	nonce := strconv.FormatUint(uint64(rand.Uint32()), 36)
	next, err := base.next(docs, retired, nonce)
	if err != nil || next == base {
		return base.manifest.Revision, err
	}
	if err := e.archive.save(ctx, next, base); err != nil {
		return 0, err
	}
	revision, err := e.accept(ctx, next, h, version, nonce)
	if err == nil {
		e.archive.clean(ctx, next, base)
	}
	return revision, err
}

// accept swaps the head. That is the moment at which the edit is in force.
func (e *Editor) accept(ctx context.Context, next *edition, old head, version uint64, nonce string) (uint64, error) {
	edits := append(append([]string(nil), old.Edits...), nonce)
	if len(edits) > recentEdits {
		edits = edits[len(edits)-recentEdits:]
	}
	h := head{Revision: next.manifest.Revision, Manifest: next.hash, Edits: edits}
	sent := e.opts.Now()
	err := e.archive.swap(ctx, h, version)
	if errors.Is(err, kvstore.ErrAmbiguous) {
		err = e.settle(ctx, h, nonce, version)
	}
	if err != nil {
		return 0, err
	}
	if e.opts.Distributor != nil {
		e.opts.Distributor.adopt(next, sent)
	}
	e.opts.Logger.Info("edit accepted", "revision", next.manifest.Revision)
	return next.manifest.Revision, nil
}

// settle finds out whether a swap took effect whose answer was lost. While the
// head is unchanged the swap may still be under way, so the same one is sent
// again: at most one of them is applied.
func (e *Editor) settle(ctx context.Context, h head, nonce string, version uint64) error {
	for ctx.Err() == nil {
		now, at, err := e.archive.head(ctx)
		switch {
		case err != nil:
			pause.For(ctx, editBackoff)
		case now.accepted(nonce):
			return nil
		case at != version && now.Revision < h.Revision+recentEdits:
			return kvstore.ErrConflict
		case at != version: // too many edits since for the head to tell
			return errUnsettled
		default:
			if err := e.archive.swap(ctx, h, version); err == nil {
				return nil
			}
		}
	}
	return errUnsettled
}

var errUnsettled = apierr.New(apierr.OutcomeUnknown, "the platform's answer was lost, and reading back did not settle it",
	"read the configuration and see whether the edit is in it before applying it again")

func (e *Editor) known() *edition {
	if e.opts.Distributor == nil {
		return emptyEdition()
	}
	return e.opts.Distributor.newest()
}

func (e *Editor) count(err error) {
	outcome := "accepted"
	if err != nil {
		outcome = string(typed(err).(*apierr.Error).Kind)
	}
	e.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_config_edits_total{outcome=%q}`, outcome)).Inc()
}

// typed turns a failure of the platform into one that an operator can act on.
func typed(err error) error {
	var known *apierr.Error
	switch {
	case err == nil || errors.As(err, &known):
		return orNil(known)
	case errors.Is(err, kvstore.ErrAmbiguous):
		return apierr.New(apierr.OutcomeUnknown, "the platform's answer was lost", "read the configuration before applying the edit again")
	}
	return apierr.New(apierr.Unavailable, "the platform was not reached, and nothing was changed: "+err.Error(), "apply the edit again when the platform answers")
}

func orNil(e *apierr.Error) error {
	if e == nil {
		return nil
	}
	return e
}
