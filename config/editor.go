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
	// maxEditAttempts bounds the attempts at an edit without an expected revision,
	// which is retried on top of other operators' edits.
	maxEditAttempts = 8
	editBackoff     = 20 * time.Millisecond // bound of the first random back-off, doubling per attempt; also the pause after a failed read
)

// EditorOptions configures an Editor.
type EditorOptions struct {
	Store       kvstore.Store
	Distributor *Distributor // adopts accepted edits at once; may be nil
	Now         func() time.Time
	Logger      *log.Logger
	Metrics     *metrics.Set
}

// Editor makes operators' edits. One compare-and-swap of the head's key puts an
// edit in force. It is safe for concurrent use.
type Editor struct {
	opts       EditorOptions
	repository repository
}

// NewEditor returns an editor.
func NewEditor(opts EditorOptions) *Editor {
	opts.Now = defaults.Now(opts.Now)
	opts.Logger = defaults.Logger(opts.Logger)
	opts.Metrics = defaults.Metrics(opts.Metrics)
	return &Editor{opts: opts, repository: repository{store: opts.Store}}
}

// editFunc computes an edit from the snapshot in force: the documents to add or
// replace, and the names of the services to retire.
type editFunc func(snap *Snapshot) (docs []Document, retired []string, err error)

// Apply adds or replaces documents if the configuration is still at revision
// expected, and returns the new revision. The error is an *apierr.Error.
func (e *Editor) Apply(ctx context.Context, docs []Document, expected uint64) (uint64, error) {
	return e.runEdit(ctx, &expected, func(snap *Snapshot) ([]Document, []string, error) {
		return resolveOut(docs, snap), nil, CheckDocuments(docs, snap)
	})
}

// Retire retires a service permanently, whatever revision is in force, and returns
// the revision that retired it.
func (e *Editor) Retire(ctx context.Context, service string) (uint64, error) {
	return e.runEdit(ctx, nil, func(snap *Snapshot) ([]Document, []string, error) {
		if _, retired := snap.Retired[service]; retired {
			return nil, nil, nil
		}
		if _, ok := snap.Services[service]; !ok {
			return nil, nil, apierr.New(apierr.NotFound, "no service "+service, "list the documents with `cyclamentray documents`")
		}
		return nil, []string{service}, nil
	})
}

// SetFailureDomain takes a failure domain out of service or brings it back,
// whatever revision is in force, and returns the revision.
func (e *Editor) SetFailureDomain(ctx context.Context, name string, out bool) (uint64, error) {
	return e.runEdit(ctx, nil, func(snap *Snapshot) ([]Document, []string, error) {
		fd, ok := snap.FailureDomains[name]
		if !ok {
			return nil, nil, apierr.New(apierr.NotFound, "no failure domain "+name, "list the documents with `cyclamentray documents`")
		}
		fd.Out = out
		return []Document{{Kind: KindFailureDomain, FailureDomain: &fd}}, nil, nil
	})
}

// runEdit makes an edit. If another edit is accepted first, it tries again, up to
// maxEditAttempts times, or returns a conflict if expected is set. Its calls are
// urgent: operators wait for it, and a failure domain may have to be taken out at
// once.
func (e *Editor) runEdit(ctx context.Context, expected *uint64, change editFunc) (uint64, error) {
	ctx = kvstore.Urgent(ctx)
	for attempt := range maxEditAttempts {
		revision, err := e.tryEdit(ctx, expected, change)
		if !errors.Is(err, kvstore.ErrConflict) {
			e.countOutcome(err)
			return revision, toAPIError(err)
		}
		if expected != nil {
			break
		}
		pause.For(ctx, time.Duration(rand.Int64N(int64(editBackoff<<attempt))))
	}
	err := apierr.New(apierr.Conflict, "another operator's edit was accepted first", "read the configuration again and apply your change to it")
	e.countOutcome(err)
	return 0, err
}

// tryEdit makes one attempt at an edit. It returns kvstore.ErrConflict if another
// edit is accepted first.
func (e *Editor) tryEdit(ctx context.Context, expected *uint64, change editFunc) (uint64, error) {
	h, version, err := e.repository.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if expected != nil && *expected != h.Revision {
		return 0, apierr.New(apierr.Conflict,
			fmt.Sprintf("the configuration is at revision %d, not %d", h.Revision, *expected),
			"read the configuration again and apply your change to it")
	}
	base, err := e.repository.load(ctx, h, e.knownConfiguration(), new(fetchedContent))
	if err != nil {
		return 0, err
	}
	docs, retired, err := change(base.snap)
	if err != nil {
		return 0, err
	}
	nonce := strconv.FormatUint(uint64(rand.Uint32()), 36)
	next, err := base.withEdit(docs, retired, nonce)
	if err != nil || next == base {
		return base.manifest.Revision, err
	}
	if err := e.repository.save(ctx, next, base); err != nil {
		return 0, err
	}
	revision, err := e.commitEdit(ctx, next, h, version, nonce)
	if err == nil {
		e.repository.deleteReplaced(ctx, next, base)
	}
	return revision, err
}

// commitEdit swaps the head, which puts the edit in force.
func (e *Editor) commitEdit(ctx context.Context, next *configuration, old head, version uint64, nonce string) (uint64, error) {
	edits := append(append([]string(nil), old.Edits...), nonce)
	if len(edits) > maxRecentEdits {
		edits = edits[len(edits)-maxRecentEdits:]
	}
	h := head{Revision: next.manifest.Revision, Manifest: next.hash, Edits: edits}
	sent := e.opts.Now()
	err := e.repository.swapHead(ctx, h, version)
	if errors.Is(err, kvstore.ErrAmbiguous) {
		err = e.resolveSwap(ctx, h, nonce, version)
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

// resolveSwap finds out whether a swap of the head whose answer was lost took effect.
// While the head is unchanged, the swap may still be in flight, so an identical one
// is sent; the store applies at most one of them.
func (e *Editor) resolveSwap(ctx context.Context, h head, nonce string, version uint64) error {
	for ctx.Err() == nil {
		found, foundVersion, err := e.repository.readHead(ctx)
		switch {
		case err != nil:
			pause.For(ctx, editBackoff)
		case found.includesEdit(nonce):
			return nil
		case foundVersion != version && found.Revision < h.Revision+maxRecentEdits:
			return kvstore.ErrConflict
		case foundVersion != version: // the head lists only the last maxRecentEdits edits
			return errOutcomeUnknown
		default:
			if err := e.repository.swapHead(ctx, h, version); err == nil {
				return nil
			}
		}
	}
	return errOutcomeUnknown
}

// errOutcomeUnknown is the error of an edit that resolveSwap could not resolve.
var errOutcomeUnknown = apierr.New(apierr.OutcomeUnknown, "the platform's answer was lost, and reading back did not settle it",
	"read the configuration and see whether the edit is in it before applying it again")

// knownConfiguration returns a configuration whose content need not be read again.
func (e *Editor) knownConfiguration() *configuration {
	if e.opts.Distributor == nil {
		return emptyConfiguration()
	}
	return e.opts.Distributor.currentConfiguration()
}

func (e *Editor) countOutcome(err error) {
	outcome := "accepted"
	if err != nil {
		outcome = string(toAPIError(err).(*apierr.Error).Kind)
	}
	e.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_config_edits_total{outcome=%q}`, outcome)).Inc()
}

// toAPIError turns a failure of the platform into an *apierr.Error with a remedy for
// the operator.
func toAPIError(err error) error {
	var known *apierr.Error
	switch {
	case err == nil || errors.As(err, &known):
		return errorOrNil(known)
	case errors.Is(err, kvstore.ErrAmbiguous):
		return apierr.New(apierr.OutcomeUnknown, "the platform's answer was lost", "read the configuration before applying the edit again")
	}
	return apierr.New(apierr.Unavailable, "the platform was not reached, and nothing was changed: "+err.Error(), "apply the edit again when the platform answers")
}

// errorOrNil returns e as an error that is nil if e is nil.
func errorOrNil(e *apierr.Error) error {
	if e == nil {
		return nil
	}
	return e
}
