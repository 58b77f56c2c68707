package intake_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/intake"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

type call int

const (
	submitting call = iota
	finding
	cancelling
)

// jobInput is one caller's call about one job. variant selects one of several
// specs of the same name.
type jobInput struct {
	call    call
	name    string
	variant int
}

type jobOutput struct {
	kind      apierr.Kind // empty: the call succeeded
	variant   int
	cancelled bool
}

// jobState is the model's state of one name. A failed submission may have bound the
// name to its spec without creating the job.
type jobState struct {
	bound, exists, cancelled bool
	variant                  int
}

func (s jobState) bind(variant int) jobState {
	if !s.bound {
		s.bound, s.variant = true, variant
	}
	return s
}

func (s jobState) create(variant int) jobState {
	s = s.bind(variant)
	s.exists = s.exists || s.variant == variant
	return s
}

func (s jobState) cancel() jobState {
	s.cancelled = s.cancelled || s.exists
	return s
}

func (s jobState) matches(out jobOutput) bool {
	return s.exists && s.variant == out.variant && s.cancelled == out.cancelled
}

// nextStates returns the states that are possible after a call with output out.
func nextStates(s jobState, in jobInput, out jobOutput) []any {
	after := map[call]jobState{submitting: s.create(in.variant), finding: s, cancelling: s.cancel()}[in.call]
	switch {
	case out.kind == "":
		if after.matches(out) && (in.call != submitting || out.variant == in.variant) {
			return []any{after}
		}
	case out.kind == apierr.Conflict:
		if in.call == submitting && s.bound && s.variant != in.variant {
			return []any{s}
		}
	case out.kind == apierr.NotFound:
		if in.call != submitting && !s.exists {
			return []any{s}
		}
	case out.kind == apierr.Unavailable && in.call == submitting: // means that no job was created, though the name may be bound
		return []any{s, s.bind(in.variant)}
	case out.kind == apierr.Unavailable:
		return []any{s}
	case out.kind == apierr.OutcomeUnknown:
		return []any{s, s.bind(in.variant), after}
	}
	return nil
}

var jobModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := make(map[string][]porcupine.Operation)
		for _, op := range history {
			name := op.Input.(jobInput).name
			byName[name] = append(byName[name], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{jobState{}} },
	Step: func(state, input, output any) []any {
		return nextStates(state.(jobState), input.(jobInput), output.(jobOutput))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// caller makes random calls through an entry host of its own and records them.
type caller struct {
	in           *intake.Intake
	random       *rand.Rand
	client       int
	historyStart time.Time
	calls        []porcupine.Operation
}

func (c *caller) run(calls, names int) {
	for range calls {
		in := jobInput{call: call(c.random.IntN(3)), name: fmt.Sprint("job-", c.random.IntN(names)), variant: c.random.IntN(2)}
		began := time.Since(c.historyStart)
		out := c.do(in)
		ended := int64(time.Since(c.historyStart))
		if out.kind == apierr.OutcomeUnknown {
			ended = math.MaxInt64 // it may still take effect at any later time
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
		c.calls = append(c.calls, porcupine.Operation{ClientId: c.client, Input: in, Call: int64(began), Output: out, Return: ended})
	}
}

func (c *caller) do(in jobInput) jobOutput {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s := spec(in.name)
	s.Shape.Tasks = in.variant + 1
	var rec job.Record
	var err error
	switch in.call {
	case submitting:
		rec, err = c.in.Submit(ctx, org, s)
	case finding:
		rec, err = c.in.Find(ctx, org, s.ID)
	case cancelling:
		rec, err = c.in.Cancel(ctx, org, s.ID)
	}
	if err != nil {
		return jobOutput{kind: apierr.KindOf(err)}
	}
	return jobOutput{variant: rec.Spec.Shape.Tasks - 1, cancelled: rec.State == job.Cancelled}
}

var storeFaults = []kv.Faults{{}, {}, {Down: true}, {LoseAnswers: -1}, {Delay: 60 * time.Millisecond}, {Delay: 30 * time.Millisecond, LoseAnswers: -1}}

// Submissions, look-ups and cancellations of the same names through four entry
// hosts must be linearizable while the store is down, slow or loses replies.
func TestJobCallsAreLinearizable(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkJobCalls(t, seed) })
	}
}

func checkJobCalls(t *testing.T, seed uint64) {
	quiet := log.New(io.Discard)
	const callers, calls, names = 4, 40, 20
	s := newSite(t)
	server := httptest.NewServer(s.kv)
	defer server.Close()
	began := time.Now()
	stop := make(chan struct{})
	var faults, running sync.WaitGroup
	faults.Go(func() {
		s.kv.InjectRandomFaults(rand.New(rand.NewPCG(seed, 0)), storeFaults, 80*time.Millisecond, stop)
	})
	var all []*caller
	for client := range callers {
		var store kvstore.Store = kvstore.NewClient(server.URL) // does not retry: the ledger must handle lost replies
		if client == 0 {
			store = kvstore.New(kvstore.Options{Base: server.URL, Rate: 1000, Burst: 1000})
		}
		ledgers := ledger.New(ledger.Options{Store: store, WriteInterval: 10 * time.Millisecond, Logger: quiet})
		in := intake.New(intake.Options{FailureDomain: "fd1", Ledgers: ledgers, Config: s, Membership: s, Election: s, Now: s.clock, Logger: quiet})
		c := &caller{in: in, random: rand.New(rand.NewPCG(seed, uint64(client+1))), client: client, historyStart: began}
		all = append(all, c)
		running.Go(func() { c.run(calls, names) })
	}
	running.Wait()
	close(stop)
	faults.Wait()
	var history []porcupine.Operation
	outcomes := make(map[apierr.Kind]int)
	for _, c := range all {
		history = append(history, c.calls...)
		for _, op := range c.calls {
			outcomes[op.Output.(jobOutput).kind]++
		}
	}
	t.Logf("outcomes: %v", outcomes)
	must.Greater(t, 20, outcomes[""], must.Sprint("too few calls succeeded for a meaningful check"))
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(jobModel.ToModel(), history, 30*time.Second))
}
