package config_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

// editInput is one operator's edit: Apply of a new organisation's document, or
// SetFailureDomain.
type editInput struct {
	apply    bool   // Apply; otherwise SetFailureDomain
	expected uint64 // Apply: expected revision
	domain   int    // SetFailureDomain: index of the failure domain
	out      bool   // SetFailureDomain: whether to take it out of service
}

type editOutput struct {
	revision uint64
	kind     apierr.Kind // empty: accepted
}

// modelState is the state of the sequential model of the configuration.
type modelState struct {
	revision uint64
	out      [2]bool // whether each failure domain is out of service
}

func (s modelState) afterEdit(in editInput) modelState {
	switch {
	case in.apply:
		s.revision++
	case s.out[in.domain] != in.out:
		s.revision++
		s.out[in.domain] = in.out
	}
	return s
}

// allowedStates returns the states that are possible after an edit with this result.
func allowedStates(s modelState, in editInput, out editOutput) []any {
	switch out.kind {
	case "":
		if next := s.afterEdit(in); next.revision == out.revision && (!in.apply || in.expected == s.revision) {
			return []any{next}
		}
		return nil
	case apierr.OutcomeUnknown:
		if in.apply && in.expected != s.revision {
			return []any{s}
		}
		return []any{s, s.afterEdit(in)}
	case apierr.Conflict:
		if in.apply && in.expected == s.revision {
			return nil // conflict although no other edit was accepted first
		}
		return []any{s}
	case apierr.Unavailable: // means that nothing was changed
		return []any{s}
	}
	return nil
}

var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{revision: 1}} },
	Step: func(state, input, output any) []any {
		return allowedStates(state.(modelState), input.(editInput), output.(editOutput))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// recorder collects the history of edits for the linearizability check.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	history []porcupine.Operation
}

func (r *recorder) recordEdit(client int, in editInput, call func() (uint64, error)) editOutput {
	began := time.Since(r.began)
	revision, err := call()
	ended := time.Since(r.began)
	out := editOutput{revision: revision}
	if err != nil {
		out = editOutput{kind: apierr.KindOf(err)}
	}
	if out.kind == apierr.OutcomeUnknown {
		ended = math.MaxInt64 // the edit may still take effect
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(began), Output: out, Return: int64(ended)})
	return out
}

// runOperator makes random edits through one editor and records them.
func runOperator(r *recorder, client int, e *config.Editor, random *rand.Rand, edits int) {
	known := uint64(1)
	for n := range edits {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		in := editInput{apply: random.IntN(2) == 0, expected: known, domain: random.IntN(2), out: random.IntN(2) == 0}
		out := r.recordEdit(client, in, func() (uint64, error) {
			if in.apply {
				org := organisation(fmt.Sprintf("o%d-%d", client, n))
				return e.Apply(ctx, []config.Document{org}, in.expected)
			}
			return e.SetFailureDomain(ctx, fmt.Sprintf("n%d", in.domain), in.out)
		})
		cancel()
		if out.kind == "" {
			known = out.revision
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// injectFaults gives store random faults until stop is closed, then none.
func injectFaults(store *kv.Server, random *rand.Rand, stop <-chan struct{}) {
	for {
		f := kv.Faults{}
		switch random.IntN(6) {
		case 0:
			f.Down = true
		case 1:
			f.LoseAnswers = -1
		case 2:
			f.Delay = time.Duration(random.IntN(100)) * time.Millisecond
		case 3:
			f.Delay, f.LoseAnswers = 50*time.Millisecond, -1
		case 4:
			f.Delay = 1200 * time.Millisecond // longer than the call timeout: writes are applied late
		}
		store.SetFaults(f)
		select {
		case <-time.After(time.Duration(50+random.IntN(200)) * time.Millisecond):
		case <-stop:
			store.SetFaults(kv.Faults{})
			return
		}
	}
}

func TestEditsAreLinearizable(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkLinearizable(t, seed) })
	}
}

func checkLinearizable(t *testing.T, seed uint64) {
	store := kv.New()
	server := httptest.NewServer(store)
	defer server.Close()
	newEditor := func(client int) *config.Editor {
		var store kvstore.Store = kvstore.NewClient(server.URL) // does not resolve lost answers, so the editor has to
		if client%2 == 0 {
			store = kvstore.New(kvstore.Options{Base: server.URL, Rate: 1000, Burst: 1000})
		}
		d := config.NewDistributor(config.Options{Store: store})
		return config.NewEditor(config.EditorOptions{Store: store, Distributor: d})
	}
	_, err := newEditor(0).Apply(context.Background(), []config.Document{failureDomain("n0"), failureDomain("n1")}, 0)
	must.NoError(t, err)

	r := &recorder{began: time.Now()}
	stop := make(chan struct{})
	var faults, operators sync.WaitGroup
	faults.Go(func() { injectFaults(store, rand.New(rand.NewPCG(seed, 0)), stop) })
	for client := range 4 {
		operators.Go(func() {
			runOperator(r, client, newEditor(client), rand.New(rand.NewPCG(seed, uint64(client+1))), 20)
		})
	}
	operators.Wait()
	close(stop)
	faults.Wait()
	_, err = newEditor(0).SetFailureDomain(context.Background(), "n0", true) // reads every document
	must.NoError(t, err)
	outcomes := map[apierr.Kind]int{}
	for _, op := range r.history {
		outcomes[op.Output.(editOutput).kind]++
	}
	t.Logf("outcomes: %v", outcomes)
	result := porcupine.CheckOperationsTimeout(editModel.ToModel(), r.history, 30*time.Second)
	must.Eq(t, porcupine.Ok, result)
}
