package dispatch

import (
	"context"
	"time"

	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// adviceGrace is how much longer than it says the adviser may take: a queue of
// a few other hosts' questions, which it answers in turn.
const adviceGrace = time.Second

// adviceLoop asks the adviser until ctx ends: one question at a time, and a
// decision is made on each answer before the next one.
func (l *Leader) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.toAsk:
		}
		l.mu.Lock()
		q, due := l.core.Ask(steady.Now())
		l.mu.Unlock()
		if due {
			l.ask(ctx, q)
			signal(l.wake)
		}
	}
}

func (l *Leader) ask(ctx context.Context, q scheduler.Question) {
	limit := q.Advice.Decide + time.Duration(len(q.Runners))*q.Advice.Each + adviceGrace
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := steady.Now()
	approval, err := l.Adviser.Advise(call, q.Job, q.Occurrence, q.Step, q.Runners)
	now := steady.Now()
	l.Log.Info("advice", "job", q.Job, "occurrence", q.Occurrence, "step", q.Step, "asked", len(q.Runners),
		"approved", len(approval.Tickets), "valid", approval.Valid, "took", now.Sub(asked).Round(time.Millisecond), "err", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.core.NotAdvised(q, now)
		return
	}
	l.core.Advised(q, approval, asked)
}
