package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// fullCore returns a core whose runners are all busy, with 300 units waiting: a
// third urgent gangs, a third other gangs and the tasks of some large steps.
func fullCore(runners int) (*scheduler.Core, steady.Time) {
	now := worldStart
	c := scheduler.New(scheduler.Options{RemoteFactor: 3})
	c.SetConfiguration(&batch.Configuration{})
	for i := range runners {
		r := batch.Runner{
			ID: fmt.Sprintf("r%04d", i), Service: "s", FailureDomain: fmt.Sprintf("fd%d", i%4), Rack: fmt.Sprintf("rack%d", i/8),
			Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 131072, Accelerators: 8},
		}
		c.RunnerListed(r, now)
		c.HandleReport(r.ID, now, batch.Report{Born: 1}, now)
	}
	submit := func(id string, priority, tasks int, gang bool, accelerators int64) {
		c.AddJob(&batch.Job{
			ID: id, Queue: id[:1], Service: "s", Priority: priority, Stretch: 3, MaxAttempts: 3, Accepted: time.Unix(0, int64(now)),
			Steps: []batch.Step{{Tasks: tasks, Gang: gang, SameRack: gang, Estimate: 9 * time.Second, Request: batch.Resources{MilliCPU: 2800, MemoryMB: 15000, Accelerators: accelerators}}},
		}, nil, now)
	}
	for i := range runners {
		submit(fmt.Sprintf("a%d", i), 0, 1, true, 8)
	}
	c.Decide(now, time.Unix(0, int64(now)))
	for i := range 100 {
		submit(fmt.Sprintf("u%d", i), 0, 3, true, int64(1+i%8))
		submit(fmt.Sprintf("g%d", i), 1, 5, true, int64(1+i%8))
	}
	for i := range 5 {
		submit(fmt.Sprintf("p%d", i), 2, 20, false, 1)
	}
	return c, now.Add(10 * time.Millisecond)
}

// One scheduling pass over a full fleet with 300 waiting units.
func BenchmarkDecideOnAFullFleet(b *testing.B) {
	for _, runners := range []int{350, 3000} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			c, now := fullCore(runners)
			b.ReportAllocs()
			for b.Loop() {
				c.Decide(now, time.Unix(0, int64(now)))
			}
		})
	}
}
