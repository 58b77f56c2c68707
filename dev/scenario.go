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
	readyTimeout = 20 * time.Second
	stepTimeout  = 40 * time.Second
	pollInterval = 50 * time.Millisecond
	longPrefix   = "long-" // of the names of jobs that run until they are stopped
)

// FailureDomains are those in which a dev deployment runs hosts.
func FailureDomains() []string { return []string{"fd-a", "fd-b"} }

// Services are those of the example documents that take requests.
func Services() []string { return []string{filings, loans} }

// The parts of the example documents that the scenario uses.
const (
	mwambao = "mwambao" // organisation of the first user Mwambao Levy Filings
	filings = "levy-filings"

	partner = "playa-kits" // organisation of the first user Consorcio Recogida Norte
	loans   = "loans"
	demand  = "playa-kits-demand"
)

// Tokens returns the callers' tokens of the example documents that the
// scenario uses, by organisation.
func Tokens() map[string]string {
	return map[string]string{mwambao: "mwambao-mwambao", partner: "consorcio-playa-kits"}
}

// Apply puts the dev documents in force and waits until every entry host has them.
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
	return reply.Revision, d.waitRevision(ctx, reply.Revision)
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

// waitRevision waits until every entry host has at least the revision in force.
func (d *Deployment) waitRevision(ctx context.Context, revision uint64) error {
	return waitUntil(ctx, readyTimeout, "every entry host to have the revision", func() bool {
		for _, e := range d.entries {
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
			return errors.Newf("gave up after %s waiting for %s", limit, what)
		case <-ticker.C:
		}
	}
	return nil
}

// reconciliation returns a job of Mwambao's filings with 8 accelerators a task.
func reconciliation(name string, tasks int) job.Spec {
	return gangSpec(job.ID{Organisation: mwambao, Service: filings, Name: name}, "reconcile", tasks)
}

// forecast returns a job of a Consorcio partner: 2 tasks with 8 accelerators each.
func forecast(name string) job.Spec {
	return gangSpec(job.ID{Organisation: partner, Service: demand, Name: name}, "train", 2)
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

// scenario runs real work against a deployment and reports each step.
type scenario struct {
	d        *Deployment
	out      io.Writer
	recorder *telemetry.Recorder // nil: no trace is printed
	traceID  string              // of the first filing
	operator *client.Client
	filer    *client.Client
	depot    *client.Client
}

// Scenario applies the documents, runs requests and gangs of both first users,
// takes a failure domain out and back, retires a service, and writes a line
// about each step to out.
//
// With a recorder, which must receive the process's spans, it prints the trace
// of the filing.
func (d *Deployment) Scenario(ctx context.Context, out io.Writer, rec *telemetry.Recorder) error {
	urls := d.EntryHostURLs()
	s := &scenario{
		d:        d,
		out:      out,
		recorder: rec,
		operator: client.New(urls[0], OperatorToken),
		filer:    client.New(urls[0], Tokens()[mwambao]),
		depot:    client.New(urls[len(urls)-1], Tokens()[partner]),
	}
	for _, step := range []func(context.Context) error{
		s.apply, s.request, s.file, s.reconcile, s.predict, s.refuse, s.takeOut, s.bringIn, s.retire,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.showTrace()
	return nil
}

func (s *scenario) say(format string, args ...any) { fmt.Fprintf(s.out, format+"\n", args...) }

func (s *scenario) apply(ctx context.Context) error {
	revision, err := s.d.Apply(ctx)
	if err != nil {
		return errors.Wrap(err, "applying the documents")
	}
	s.say("documents: in force on %d entry hosts at revision %d", len(s.d.entries), revision)
	return nil
}

func (s *scenario) request(ctx context.Context) error {
	answer, err := s.depot.Request(ctx, http.MethodGet, loans, "kit/grabbers", "", nil)
	if err != nil {
		return errors.Wrap(err, "requesting the kit list")
	}
	s.say("request: GET kit/grabbers answered %d, outcome %s", answer.Status, answer.Outcome)
	return nil
}

// file sends one filing to every entry host under one idempotency key.
func (s *scenario) file(ctx context.Context) error {
	for _, url := range s.d.EntryHostURLs() {
		if err := s.fileAt(ctx, url); err != nil {
			return err
		}
	}
	s.say("filing: executed %d times", s.d.Executions("return-2026-11"))
	return nil
}

func (s *scenario) fileAt(ctx context.Context, url string) error {
	ctx, span := telemetry.Start(ctx, "caller files a return")
	caller := client.New(url, Tokens()[mwambao])
	answer, err := caller.Request(ctx, http.MethodPost, filings, "returns/2026-11", "return-2026-11", []byte(`{"litres": 1200}`))
	span.End()
	if err != nil {
		return errors.Wrap(err, "filing the return")
	}
	s.say("filing: POST returns/2026-11 answered %d, outcome %s", answer.Status, answer.Outcome)
	if s.traceID == "" {
		s.traceID = telemetry.TraceID(ctx)
	}
	return nil
}

// showTrace prints the first filing's trace, whose spans have all ended by now.
func (s *scenario) showTrace() {
	if s.recorder != nil {
		s.say("trace of the first filing:\n%s", s.recorder.Tree(s.traceID))
	}
}

func (s *scenario) reconcile(ctx context.Context) error {
	return s.runJob(ctx, s.filer, reconciliation("november", 2))
}

func (s *scenario) predict(ctx context.Context) error {
	return s.runJob(ctx, s.depot, forecast("spring"))
}

func (s *scenario) runJob(ctx context.Context, caller *client.Client, spec job.Spec) error {
	if _, err := caller.Submit(ctx, spec); err != nil {
		return errors.Wrapf(err, "submitting %s", spec.ID)
	}
	rec, err := s.await(ctx, caller, spec.ID, job.Running, job.Finished)
	if err != nil {
		return err
	}
	s.say("job: %s %d x %d accelerators on %d workers of one rack in %s",
		spec.ID, spec.Shape.Tasks, spec.Shape.AcceleratorsPerTask, len(rec.Workers), rec.FailureDomain)
	rec, err = s.await(ctx, caller, spec.ID, job.Finished)
	if err != nil {
		return err
	}
	s.say("job: %s is %s", spec.ID, rec.State)
	return nil
}

// await polls a job until it is in one of the states.
func (s *scenario) await(ctx context.Context, caller *client.Client, id job.ID, states ...job.State) (job.Record, error) {
	var rec job.Record
	err := waitUntil(ctx, stepTimeout, fmt.Sprintf("%s to be %v", id, states), func() bool {
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
	return rec, errors.Wrapf(err, "it is %s (%s)", rec.State, rec.Reason)
}

func (s *scenario) refuse(ctx context.Context) error {
	_, err := s.filer.Submit(ctx, reconciliation("too-large", job.MaxGangTasks))
	if err == nil {
		return errors.New("a job larger than its template was taken")
	}
	s.say("refusal: %v", err)
	return nil
}

func (s *scenario) takeOut(ctx context.Context) error {
	reply, err := s.operator.SetFailureDomain(ctx, "fd-a", true)
	if err != nil {
		return errors.Wrap(err, "taking fd-a out")
	}
	if err := s.d.waitRevision(ctx, reply.Revision); err != nil {
		return err
	}
	s.say("failure domain: fd-a is out on every entry host at revision %d", reply.Revision)
	return s.runJob(ctx, s.filer, reconciliation("december", 1))
}

func (s *scenario) bringIn(ctx context.Context) error {
	reply, err := s.operator.SetFailureDomain(ctx, "fd-a", false)
	if err != nil {
		return errors.Wrap(err, "bringing fd-a back")
	}
	s.say("failure domain: fd-a is back at revision %d", reply.Revision)
	return s.d.waitRevision(ctx, reply.Revision)
}

func (s *scenario) retire(ctx context.Context) error {
	long := forecast(longPrefix + "autumn")
	if _, err := s.depot.Submit(ctx, long); err != nil {
		return errors.Wrap(err, "submitting a long job")
	}
	if _, err := s.await(ctx, s.depot, long.ID, job.Running); err != nil {
		return err
	}
	reply, err := s.operator.Retire(ctx, demand)
	if err != nil {
		return errors.Wrap(err, "retiring "+demand)
	}
	if err := s.d.waitRevision(ctx, reply.Revision); err != nil {
		return err
	}
	_, refusal := s.depot.Submit(ctx, forecast("summer"))
	if refusal == nil {
		return errors.New("a job of a retired service was taken")
	}
	stopped, err := s.await(ctx, s.depot, long.ID, job.Cancelled)
	if err != nil {
		return err
	}
	s.say("retirement: %s is %s (%s)", long.ID, stopped.State, stopped.Reason)
	s.say("retirement: %s is retired at revision %d; its next job: %v", demand, reply.Revision, refusal)
	return nil
}
