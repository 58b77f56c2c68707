package intake

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
	"github.com/cyclamentray/cyclamentray/job"
)

const (
	maxSpecBytes      = 64 << 10     // of the body of a submission
	waitReasonTimeout = time.Second  // per entry host that is asked why a job waits
	methodHold        = "Gangs.Hold" // of package gang; replies with the fields of holdReply
)

// Register adds the job calls to mux. The context of each request must hold the
// caller's identity.
func (in *Intake) Register(mux *http.ServeMux) {
	const jobPath = "/v1/jobs/{organisation}/{service}/{name}"
	mux.HandleFunc("POST /v1/jobs", handle(in.serveSubmit))
	mux.HandleFunc("GET /v1/jobs", handle(in.serveList))
	mux.HandleFunc("GET "+jobPath, handle(in.serveStatus))
	mux.HandleFunc("GET "+jobPath+"/explain", handle(in.serveExplain))
	mux.HandleFunc("DELETE "+jobPath, handle(in.serveCancel))
}

// handler serves a call of an authenticated caller and returns the reply's body.
type handler func(r *http.Request, who auth.Identity) (any, error)

// handle returns h as an http.HandlerFunc that writes the reply or error as JSON.
func handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := auth.RequireIdentity(r.Context())
		if err != nil {
			httpjson.WriteError(w, err)
			return
		}
		answer, err := h(r, who)
		if err != nil {
			httpjson.WriteError(w, err)
			return
		}
		httpjson.Write(w, http.StatusOK, answer)
	}
}

func jobIDFromPath(r *http.Request) job.ID {
	return job.ID{
		Organisation: r.PathValue("organisation"),
		Service:      r.PathValue("service"),
		Name:         r.PathValue("name"),
	}
}

func (in *Intake) serveSubmit(r *http.Request, who auth.Identity) (any, error) {
	var spec job.Spec
	if err := httpjson.Read(nil, r, maxSpecBytes, &spec); err != nil {
		return nil, err
	}
	return in.Submit(r.Context(), who, spec)
}

func (in *Intake) serveStatus(r *http.Request, who auth.Identity) (any, error) {
	return in.Find(r.Context(), who, jobIDFromPath(r))
}

func (in *Intake) serveCancel(r *http.Request, who auth.Identity) (any, error) {
	return in.Cancel(r.Context(), who, jobIDFromPath(r))
}

func (in *Intake) serveList(r *http.Request, who auth.Identity) (any, error) {
	state := job.State(r.URL.Query().Get("state"))
	if state != "" && !state.Valid() {
		return nil, apierr.Invalid("state", "unknown state "+strconv.Quote(string(state)), "leave it out, or use a state such as queued or running")
	}
	jobs, err := in.List(r.Context(), who, state)
	if err != nil {
		return nil, err
	}
	return api.JobList{Jobs: jobs}, nil
}

// List returns the jobs of all failure domains that the caller may see, ordered by
// ID. If state is not empty, it returns only the jobs in that state.
func (in *Intake) List(ctx context.Context, who auth.Identity, state job.State) ([]job.Record, error) {
	snap, _ := in.o.Config.Current()
	names := sortedKeys(snap.FailureDomains)
	pages := make([]map[string]job.Record, len(names))
	var g errgroup.Group
	for i, name := range names {
		g.Go(func() error {
			records, err := in.o.Ledgers.Jobs(name).ReadAll(ctx)
			pages[i] = records
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, storeError(err)
	}
	found := make(map[string]job.Record)
	for _, records := range pages {
		for key, rec := range records {
			wanted := rec.State != job.Moved && (state == "" || rec.State == state)
			if wanted && who.MaySee(rec.Spec.ID.Organisation) {
				found[key] = rec
			}
		}
	}
	out := make([]job.Record, 0, len(found))
	for _, key := range sortedKeys(found) {
		out = append(out, found[key])
	}
	return out, nil
}

func (in *Intake) serveExplain(r *http.Request, who auth.Identity) (any, error) {
	rec, domain, err := in.locate(r.Context(), who, jobIDFromPath(r))
	if err != nil {
		return nil, storeError(err)
	}
	why := rec.Reason
	if rec.State == job.Queued {
		why = in.whyQueued(r.Context(), domain, rec)
	}
	return api.Explanation{Record: rec, FailureDomain: domain, Why: why, History: rec.History}, nil
}

// whyQueued returns why a queued job waits, as the scheduler of its failure domain
// reports it or, without an answer, from the job's record.
func (in *Intake) whyQueued(ctx context.Context, domain string, rec job.Record) string {
	snap, _ := in.o.Config.Current()
	if snap.FailureDomains[domain].Out {
		return "failure domain " + domain + " is out of service; the job is moved to another one or waits until this one is back in service"
	}
	if reason, ok := in.o.WaitReason(rec.Spec.ID); ok && domain == in.o.FailureDomain {
		return reason
	}
	if reason, ok := in.askWaitReason(ctx, domain, rec.Spec.ID); ok {
		return reason
	}
	if rec.Reason != "" {
		return rec.Reason
	}
	return "the job waits for the scheduler of failure domain " + domain
}
