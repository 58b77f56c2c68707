package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

// minLoggedAge is how long before its execution a start was sent that is logged, though neither its
// runner has kept it nor restarted since.
const minLoggedAge = time.Second

// startHandler serves the API of a runner. It carries starts out late as the deployment's
// lateness says, and tells the checker of each start how it came.
type startHandler struct {
	deployment *deployment
	runner     *proxiedRunner
	api        http.Handler

	mu sync.Mutex // held while a start is carried out
}

func (h *startHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != platform.StartPath {
		h.api.ServeHTTP(w, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the caller has left
	}
	var order struct {
		Task    string
		Attempt int
		Token   uint64 `json:"fence_token"`
	}
	if err := json.Unmarshal(body, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	task, err := platform.ParseTask(order.Task)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sent := steady.Now()
	if received := h.runner.proxy.ReceivedAt(req.RemoteAddr); !received.IsZero() {
		sent = sent.Add(-time.Since(received))
	}
	kept := h.runner.proxy.KeptFor(req.RemoteAddr)
	late := h.deployment.lateness(h.runner.id, req.URL.Path)
	carryOut := func(w http.ResponseWriter, ctx context.Context) {
		h.mu.Lock()
		defer h.mu.Unlock()
		earlier := h.deployment.bootedAfter(h.runner, sent)
		begun := h.deployment.checker.RecordOrder(Order{Runner: h.runner.id, Task: task, Attempt: order.Attempt, Late: late > 0, Earlier: earlier, KeptByLink: kept})
		inner := req.Clone(ctx)
		inner.Body = io.NopCloser(bytes.NewReader(body))
		defer func() {
			began, age := begun(), steady.Now().Sub(sent)
			if late > 0 || earlier || age > minLoggedAge {
				h.deployment.log(fmt.Sprintf("late at %s, kept by the runner %t, sent to an earlier incarnation %t: %s %s run %d, token %d, age %s, kept by its link for %s, begun %t",
					h.runner.id, late > 0, earlier, req.URL.Path, order.Task, order.Attempt, order.Token, age, kept, began))
			}
		}()
		h.api.ServeHTTP(w, inner)
	}
	if late == 0 {
		carryOut(w, req.Context())
		return
	}
	time.AfterFunc(late, func() {
		defer func() {
			if p := recover(); p != nil && !isAbort(p) {
				panic(p)
			}
		}()
		carryOut(discardedResponse{}, context.Background())
	})
	<-req.Context().Done()
}

// isAbort returns whether a handler's panic only aborts its response.
func isAbort(p any) bool {
	err, ok := p.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// discardedResponse drops the response to an order that stays without an answer.
type discardedResponse struct{}

func (discardedResponse) Header() http.Header         { return http.Header{} }
func (discardedResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardedResponse) WriteHeader(int)             {}

// bootedAfter returns whether a runner's incarnation has booted after a time.
func (d *deployment) bootedAfter(r *proxiedRunner, at steady.Time) bool {
	var bootedAt steady.Time
	d.runnerServer.WithPool(func(_ steady.Time, p *runner.Pool) { bootedAt = p.Runner(r.id).BootedAt() })
	return bootedAt.After(at)
}
