package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record, and keeps the runs of
// each task for the checks.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]*seenRun // by task
}

// seenRun is one run of a task as its runner saw it.
type seenRun struct {
	runner  string
	kind    string // of the runner, at the start
	attempt int
	from    time.Time
	until   time.Time // zero: it runs
	how     string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now(), runs: make(map[string][]*seenRun)}, nil
}

// note writes a line to the record.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *recorder) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) started(by *runner, task string, attempt int, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked("runner %s in %s (born %d, labels %v): starts %s run %d, fence %d", by.id, by.zone, by.born, by.labels, task, attempt, fence)
	r.runs[task] = append(r.runs[task], &seenRun{runner: by.id, kind: by.labels[0], attempt: attempt, from: time.Now()})
}

func (r *recorder) ended(by *runner, task string, attempt int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked("runner %s: %s run %d ends: %s", by.id, task, attempt, how)
	for _, run := range r.runs[task] {
		if run.runner == by.id && run.attempt == attempt && run.until.IsZero() {
			run.until, run.how = time.Now(), how
		}
	}
}

// running returns how many runs of a task there are now, and when the last run ended.
func (r *recorder) running(task string) (n int, lastEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs[task] {
		if run.until.IsZero() {
			n++
		} else if run.until.After(lastEnd) {
			lastEnd = run.until
		}
	}
	return n, lastEnd
}

// runnersOf returns the runners on which a task runs.
func (r *recorder) runnersOf(task string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, run := range r.runs[task] {
		if run.until.IsZero() {
			out = append(out, run.runner)
		}
	}
	return out
}

// overlap returns the longest time that two runs of one task, with different attempts
// or runners, were at work together, and a description of it.
func (r *recorder) overlap() (longest time.Duration, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := func(s *seenRun) time.Time {
		if s.until.IsZero() {
			return time.Now()
		}
		return s.until
	}
	for task, runs := range r.runs {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				from, until := b.from, end(a)
				if end(b).Before(until) {
					until = end(b)
				}
				if d := until.Sub(from); d > longest {
					longest = d
					what = fmt.Sprintf("%s: run %d on %s and run %d on %s together for %s", task, a.attempt, a.runner, b.attempt, b.runner, d.Round(time.Millisecond))
				}
			}
		}
	}
	return longest, what
}

// misplaced returns a start on a runner of another kind than all the tasks need; empty: none.
func (r *recorder) misplaced(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.runs {
		for _, run := range runs {
			if run.kind != kind {
				return fmt.Sprintf("ROUTE: %s run %d, which needs label %s, was started on %s of kind %s, %.3f s into the case", task, run.attempt, kind, run.runner, run.kind, run.from.Sub(r.began).Seconds())
			}
		}
	}
	return ""
}
