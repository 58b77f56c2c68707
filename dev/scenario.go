package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/client"
	"github.com/cyclamentray/cyclamentray/examples"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

const (
	revisionTimeout    = 20 * time.Second
	jobStateTimeout    = 40 * time.Second
	pollInterval       = 50 * time.Millisecond
	untilStoppedPrefix = "long-" // name prefix of jobs that run until they are stopped
)

// FailureDomains returns the failure domains in which a dev deployment runs hosts.
func FailureDomains() []string { return []string{"fd-a", "fd-b"} }

// Services returns the services of the example documents that take requests.
func Services() []string { return []string{filingsService, loansService} }

// Organisations and services of the example documents that the scenario uses.
const (
	mwambao        = "mwambao" // organisation of the example user Mwambao Levy Filings
	filingsService = "levy-filings"

	playaKits     = "playa-kits" // organisation of the example user Consorcio Recogida Norte
	loansService  = "loans"
	demandService = "playa-kits-demand"
)

// Tokens returns the callers' tokens of the organisations that the scenario
// uses, by organisation.
func Tokens() map[string]string {
	return map[string]string{mwambao: "mwambao-mwambao", playaKits: "consorcio-playa-kits"}
}

// Apply applies the example documents and waits until every entry host is ready
// and has them. It returns their revision.
func (d *Deployment) Apply(ctx context.Context) (uint64, error) {
	req, err := applyRequest()
	if err != nil {
		return 0, err
	}
	operator := client.New(d.EntryHostURLs()[0], OperatorToken)
	reply, err := operator.Apply(ctx, req)
	if err != nil {
		return 0, err
	}
	return reply.Revision, d.waitForRevision(ctx, reply.Revision)
}

func applyRequest() (api.ApplyRequest, error) {
	docs, err := examples.Documents()
	if err != nil {
		return api.ApplyRequest{}, err
	}
	var req api.ApplyRequest
	for _, doc := range docs {
		raw, err := json.Marshal(doc)
		if err != nil {
			return api.ApplyRequest{}, err
		}
		req.Documents = append(req.Documents, raw)
	}
	return req, nil
}

// waitForRevision waits until every entry host is ready and has the revision or
// a later one.
func (d *Deployment) waitForRevision(ctx context.Context, revision uint64) error {
	return waitUntil(ctx, revisionTimeout, "every entry host to be ready and have the revision", func() bool {
		for _, e := range d.entryHosts {
			if e.Ready() != nil || e.Revision() < revision {
				return false
			}
		}
		return true
	})
}

func waitUntil(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Newf("timed out after %s waiting for %s", limit, what)
		case <-ticker.C:
		}
	}
	return nil
}

// reconciliationSpec returns a job of Mwambao's filings service with 8
// accelerators per task.
func reconciliationSpec(name string, tasks int) job.Spec {
	return gangSpec(job.ID{Organisation: mwambao, Service: filingsService, Name: name}, "reconcile", tasks)
}

// forecastSpec returns a job of a partner of the Consorcio: 2 tasks with 8
// accelerators each.
func forecastSpec(name string) job.Spec {
	return gangSpec(job.ID{Organisation: playaKits, Service: demandService, Name: name}, "train", 2)
}

func gangSpec(id job.ID, template string, tasks int) job.Spec {
	return job.Spec{
		ID:          id,
		Template:    template,
		Shape:       job.Shape{Tasks: tasks, AcceleratorsPerTask: 8, Adjacency: job.SameRack},
		DeclaredRun: 2 * time.Second,
		Checkpoint:  true,
	}
}

// scenario runs requests and jobs against a deployment and prints each step.
type scenario struct {
	d               *Deployment
	out             io.Writer
	recorder        *telemetry.Recorder // nil: no trace is printed
	traceID         string              // trace of the first filing
	operatorClient  *client.Client
	mwambaoClient   *client.Client
	playaKitsClient *client.Client
}

// Scenario applies the documents, runs requests and gangs of both example users,
// takes a failure domain out of service and back, retires a service, and writes
// a line about each step to out.
//
// With a recorder, which must receive the process's spans, it also prints the
// trace of the first filing.
func (d *Deployment) Scenario(ctx context.Context, out io.Writer, rec *telemetry.Recorder) error {
	urls := d.EntryHostURLs()
	s := &scenario{
		d:               d,
		out:             out,
		recorder:        rec,
		operatorClient:  client.New(urls[0], OperatorToken),
		mwambaoClient:   client.New(urls[0], Tokens()[mwambao]),
		playaKitsClient: client.New(urls[len(urls)-1], Tokens()[playaKits]),
	}
	for _, step := range []func(context.Context) error{
		s.applyDocuments, s.requestKitList, s.fileReturnAtEachHost, s.runReconciliation, s.runForecast, s.submitOversizedJob, s.takeOutFailureDomain, s.bringBackFailureDomain, s.retireService,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.printTrace()
	return nil
}

func (s *scenario) printLinef(format string, args ...any) {
	fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *scenario) applyDocuments(ctx context.Context) error {
	revision, err := s.d.Apply(ctx)
	if err != nil {
		return errors.Wrap(err, "applying the documents")
	}
	s.printLinef("documents: in force on %d entry hosts at revision %d", len(s.d.entryHosts), revision)
	return nil
}

func (s *scenario) requestKitList(ctx context.Context) error {
	answer, err := s.playaKitsClient.Request(ctx, http.MethodGet, loansService, "kit/grabbers", "", nil)
	if err != nil {
		return errors.Wrap(err, "requesting the kit list")
	}
	s.printLinef("request: GET kit/grabbers answered %d, outcome %s", answer.Status, answer.Outcome)
	return nil
}

// fileReturnAtEachHost sends the same filing to every entry host in turn, with
// one idempotency key, and prints how often upstreams executed it.
func (s *scenario) fileReturnAtEachHost(ctx context.Context) error {
	for _, url := range s.d.EntryHostURLs() {
		if err := s.fileReturn(ctx, url); err != nil {
			return err
		}
	}
	s.printLinef("filing: executed %d times", s.d.Executions("return-2026-11"))
	return nil
}

func (s *scenario) fileReturn(ctx context.Context, url string) error {
	ctx, span := telemetry.Start(ctx, "caller files a return")
	caller := client.New(url, Tokens()[mwambao])
	answer, err := caller.Request(ctx, http.MethodPost, filingsService, "returns/2026-11", "return-2026-11", []byte(`{"litres": 1200}`))
	span.End()
	if err != nil {
		return errors.Wrap(err, "filing the return")
	}
	s.printLinef("filing: POST returns/2026-11 answered %d, outcome %s", answer.Status, answer.Outcome)
	if s.traceID == "" {
		s.traceID = telemetry.TraceID(ctx)
	}
	return nil
}

// printTrace prints the trace of the first filing. It must be called after all
// spans of that trace have ended.
func (s *scenario) printTrace() {
	if s.recorder != nil {
		s.printLinef("trace of the first filing:\n%s", s.recorder.Tree(s.traceID))
	}
}

func (s *scenario) runReconciliation(ctx context.Context) error {
	return s.runJob(ctx, s.mwambaoClient, reconciliationSpec("november", 2))
}

func (s *scenario) runForecast(ctx context.Context) error {
	return s.runJob(ctx, s.playaKitsClient, forecastSpec("spring"))
}

func (s *scenario) runJob(ctx context.Context, caller *client.Client, spec job.Spec) error {
	if _, err := caller.Submit(ctx, spec); err != nil {
		return errors.Wrapf(err, "submitting %s", spec.ID)
	}
	rec, err := s.waitForState(ctx, caller, spec.ID, job.Running, job.Finished)
	if err != nil {
		return err
	}
	s.printLinef("job: %s %d x %d accelerators on %d workers of one rack in %s",
		spec.ID, spec.Shape.Tasks, spec.Shape.AcceleratorsPerTask, len(rec.Workers), rec.FailureDomain)
	rec, err = s.waitForState(ctx, caller, spec.ID, job.Finished)
	if err != nil {
		return err
	}
	s.printLinef("job: %s is %s", spec.ID, rec.State)
	return nil
}

// waitForState polls a job until it is in one of the states, and returns the
// last record read.
func (s *scenario) waitForState(ctx context.Context, caller *client.Client, id job.ID, states ...job.State) (job.Record, error) {
	var rec job.Record
	err := waitUntil(ctx, jobStateTimeout, fmt.Sprintf("%s to be %v", id, states), func() bool {
		got, err := caller.Status(ctx, id)
		if err != nil {
			return false
		}
		rec = got
		for _, state := range states {
			if rec.State == state {
				return true
			}
		}
		return false
	})
	return rec, errors.Wrapf(err, "last state %s (%s)", rec.State, rec.Reason)
}

func (s *scenario) submitOversizedJob(ctx context.Context) error {
	_, err := s.mwambaoClient.Submit(ctx, reconciliationSpec("too-large", job.MaxGangTasks))
	if err == nil {
		return errors.New("a job larger than its template was accepted")
	}
	s.printLinef("refusal: %v", err)
	return nil
}

func (s *scenario) takeOutFailureDomain(ctx context.Context) error {
	reply, err := s.operatorClient.SetFailureDomain(ctx, "fd-a", true)
	if err != nil {
		return errors.Wrap(err, "taking fd-a out of service")
	}
	if err := s.d.waitForRevision(ctx, reply.Revision); err != nil {
		return err
	}
	s.printLinef("failure domain: fd-a is out on every entry host at revision %d", reply.Revision)
	return s.runJob(ctx, s.mwambaoClient, reconciliationSpec("december", 1))
}

func (s *scenario) bringBackFailureDomain(ctx context.Context) error {
	reply, err := s.operatorClient.SetFailureDomain(ctx, "fd-a", false)
	if err != nil {
		return errors.Wrap(err, "bringing fd-a back into service")
	}
	s.printLinef("failure domain: fd-a is back at revision %d", reply.Revision)
	return s.d.waitForRevision(ctx, reply.Revision)
}

func (s *scenario) retireService(ctx context.Context) error {
	long := forecastSpec(untilStoppedPrefix + "autumn")
	if _, err := s.playaKitsClient.Submit(ctx, long); err != nil {
		return errors.Wrap(err, "submitting a long job")
	}
	if _, err := s.waitForState(ctx, s.playaKitsClient, long.ID, job.Running); err != nil {
		return err
	}
	reply, err := s.operatorClient.Retire(ctx, demandService)
	if err != nil {
		return errors.Wrap(err, "retiring "+demandService)
	}
	if err := s.d.waitForRevision(ctx, reply.Revision); err != nil {
		return err
	}
	_, refusal := s.playaKitsClient.Submit(ctx, forecastSpec("summer"))
	if refusal == nil {
		return errors.New("a job of a retired service was accepted")
	}
	stopped, err := s.waitForState(ctx, s.playaKitsClient, long.ID, job.Cancelled)
	if err != nil {
		return err
	}
	s.printLinef("retirement: %s is %s (%s)", long.ID, stopped.State, stopped.Reason)
	s.printLinef("retirement: %s is retired at revision %d; its next job: %v", demandService, reply.Revision, refusal)
	return nil
}
