// Package dispatch acts for the scheduler on the host that leads: it holds the
// runners' leases, sends orders, takes reports and commits records.
package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
)

// StartOrder starts one run.
type StartOrder struct {
	Task       batch.TaskID
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string        // of the adviser; empty: none is needed
	Token      uint64        // of the sender's term; a runner obeys no lower one than it has seen
	Deadline   time.Duration // on the runner's clock; its lease lasts until then
}

// StopOrder stops one run and bars it from starting later.
type StopOrder struct {
	Task    batch.TaskID
	Attempt int
	Token   uint64
}

// HoldOrder extends a runner's lease and asks for a report.
type HoldOrder struct {
	Token        uint64
	Acknowledged int64         // ends up to this one are recorded
	Deadline     time.Duration // on the runner's clock; 0: the lease is not extended
	Wait         time.Duration // how long the runner may wait for an end
}

// Answer is a runner's answer to an order.
type Answer int

// The answers. All but Accepted and Unanswered mean that nothing was done.
const (
	Unanswered Answer = iota // it may have been done, or may be done later
	Accepted
	Fenced               // a higher token was seen
	Superseded           // this run, or a later one, was stopped or has ended there
	DeadlinePassed       // the deadline has passed
	InsufficientCapacity // it does not fit
	InvalidTicket        // the ticket is missing or no longer valid
	OtherIncarnation     // another runner is at the address
	Unhealthy
	Malformed
)

// ErrNotSent marks an order that did not leave this host.
var ErrNotSent = errors.New("dispatch: order not sent")

// Adviser says which runners may run a step. Implementations are safe for
// concurrent use.
type Adviser interface {
	Advise(ctx context.Context, job string, occurrence, step int, runners []string) (batch.Approval, error)
}

// Runners sends orders. Implementations are safe for concurrent use.
type Runners interface {
	Start(ctx context.Context, to batch.Runner, o StartOrder) (Answer, error)
	Stop(ctx context.Context, to batch.Runner, o StopOrder) (Answer, error)
	Hold(ctx context.Context, to batch.Runner, o HoldOrder) (batch.Report, Answer, error)
}
