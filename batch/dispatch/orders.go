// Package dispatch runs the scheduler on the leading host. It acquires and renews
// the term, extends the runners' leases by holds (calls that extend a lease and
// return a report), sends start and stop orders, asks the adviser, and commits
// progress records to the store. Its state, a scheduler.Core and a link to each
// runner, lasts for one term and is rebuilt from the store by the next leader.
// Package host runs a Candidate on each host; the platform adapter implements
// Runners and Adviser.
package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
)

// StartOrder tells a runner to start one run.
type StartOrder struct {
	Task       batch.TaskID
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string        // issued by the adviser; empty: none is needed
	Token      uint64        // of the sender's term; a runner refuses a lower one than it has seen
	Deadline   time.Duration // end of the lease, on the runner's clock
}

// StopOrder tells a runner to stop one run and never to start it later.
type StopOrder struct {
	Task    batch.TaskID
	Attempt int
	Token   uint64
}

// HoldOrder extends a runner's lease and asks for a report.
type HoldOrder struct {
	Token        uint64
	Acknowledged int64         // sequence number up to which ends are recorded
	Deadline     time.Duration // end of the lease, on the runner's clock; 0: the lease is not extended
	Wait         time.Duration // how long the runner may wait for a run to end

	// NewConnection has the order sent on a connection of its own: those that are open may
	// lead to an earlier incarnation of the runner, and stay silent.
	NewConnection bool
}

// Answer is a runner's answer to an order.
type Answer int

// The answers. All but Accepted and Unanswered mean that the order was not carried
// out.
const (
	Unanswered Answer = iota // the order may have been carried out, or may be later
	Accepted
	Fenced               // the runner has seen a higher token
	Superseded           // this attempt, or a later one, was stopped or has ended there
	DeadlinePassed       // the lease's deadline has passed on the runner's clock
	InsufficientCapacity // the task does not fit on the runner
	InvalidTicket        // the ticket is missing or no longer valid
	OtherIncarnation     // another runner is at the address
	Unhealthy            // the runner is overloaded or unavailable
	Malformed            // the runner found the order malformed
)

// ErrNotSent marks errors of orders that did not leave this host.
var ErrNotSent = errors.New("dispatch: order not sent")

// Adviser says which runners may run a step. Implementations are safe for
// concurrent use.
type Adviser interface {
	Advise(ctx context.Context, job string, occurrence, step int, runners []string) (batch.Approval, error)
}

// Runners sends orders to runners. Implementations are safe for concurrent use.
type Runners interface {
	Start(ctx context.Context, to batch.Runner, o StartOrder) (Answer, error)
	Stop(ctx context.Context, to batch.Runner, o StopOrder) (Answer, error)
	Hold(ctx context.Context, to batch.Runner, o HoldOrder) (batch.Report, Answer, error)
}
