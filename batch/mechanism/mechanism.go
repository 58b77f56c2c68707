// Package mechanism names the mechanisms of the batch scheduler that can be
// switched off one by one, so that an experiment can measure what each is worth.
// It holds no state. Options of the scheduler's core and of the host carry a Set;
// the set is empty outside experiments.
package mechanism

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Mechanism is the name of one mechanism.
type Mechanism string

// Mechanisms of the scheduler's core.
const (
	QueueOrder     Mechanism = "queue-order"     // off: units are placed in order of acceptance
	Preemption     Mechanism = "preemption"      // off: nothing is stopped to make room for others
	FasterRunners  Mechanism = "faster-runners"  // off: a unit that can start is placed although it will be late
	InTimeVictims  Mechanism = "in-time-victims" // off: preemption doesn't try runners first that are fast enough
	LearnedSpeeds  Mechanism = "learned-speeds"  // off: all runners count as equally fast
	DurationFit    Mechanism = "duration-fit"    // off: declared durations are believed
	KeptSpeeds     Mechanism = "kept-speeds"     // off: a new leader doesn't know the speeds that earlier ones learned
	Exploration    Mechanism = "exploration"     // off: runners of unknown speed aren't preferred for other than urgent work
	OutcomeWait    Mechanism = "outcome-wait"    // off: a unit starts on any free runner although it will be late there
	Reservation    Mechanism = "reservation"     // off: nothing is kept free for gangs that wait long
	SlackTolerance Mechanism = "slack-tolerance" // off: work with time to spare prefers average runners to slow ones too
	Moves          Mechanism = "moves"           // off: work that will be late isn't moved
	StallStops     Mechanism = "stall-stops"     // off: work without progress isn't stopped
	LocalityWait   Mechanism = "locality-wait"   // off: units don't wait for a place near their data or in one rack
	SilenceCheck   Mechanism = "silence-check"   // off: runners get work until their last report is too old
	FailureBackoff Mechanism = "failure-backoff" // off: a runner gets work at once after a failure
)

// Mechanisms of a host.
const (
	PeerCalls       Mechanism = "peer-calls"       // off: a host that can't reach the store doesn't ask its peers
	Unreadiness     Mechanism = "unreadiness"      // off: a host without the store stays ready
	EarlyRefusal    Mechanism = "early-refusal"    // off: submissions try the store although it is known to be away
	LeaderAnswers   Mechanism = "leader-answers"   // off: states are answered from the host's own replica
	WeakHostsYield  Mechanism = "weak-hosts-yield" // off: every host seeks the term at once
	BatchedReplicas Mechanism = "batched-replicas" // off: every host follows each change at once
)

// All returns every mechanism.
func All() []Mechanism {
	return []Mechanism{
		QueueOrder, Preemption, FasterRunners, InTimeVictims, LearnedSpeeds, DurationFit, KeptSpeeds, Exploration, SlackTolerance, OutcomeWait, Reservation,
		Moves, StallStops, LocalityWait, SilenceCheck, FailureBackoff,
		PeerCalls, Unreadiness, EarlyRefusal, LeaderAnswers, WeakHostsYield, BatchedReplicas,
	}
}

// Set is a set of mechanisms that are switched off. The zero Set is empty.
type Set struct{ off map[Mechanism]bool }

// Without returns the set of the given mechanisms.
func Without(mechanisms ...Mechanism) Set {
	s := Set{off: make(map[Mechanism]bool)}
	for _, m := range mechanisms {
		s.off[m] = true
	}
	return s
}

// Parse returns the set of the named mechanisms, or an error that names one that
// doesn't exist.
func Parse(names []string) (Set, error) {
	var out []Mechanism
	for _, name := range names {
		if !slices.Contains(All(), Mechanism(name)) {
			return Set{}, errors.Newf("unknown mechanism %q; one of %v", name, All())
		}
		out = append(out, Mechanism(name))
	}
	return Without(out...), nil
}

// On reports whether a mechanism is in use.
func (s Set) On(m Mechanism) bool { return !s.off[m] }

// FirstFit is the baseline for measurements: units are placed in order of
// acceptance on the first runners that fit, without preemption, moves and learned
// speeds.
func FirstFit() Set {
	return Without(QueueOrder, Preemption, LearnedSpeeds, Moves)
}
