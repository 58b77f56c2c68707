package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// questionSizeMin is the minimum number of runners that a question names, if
	// there are that many: target times include one question of that size for each
	// step.
	questionSizeMin = 30

	// questionSizeMax is the maximum number of runners that the adviser accepts
	// in a question.
	questionSizeMax = 100

	// ticketMargin is how long a ticket must still be valid when a unit is
	// placed: the time to commit a record and send a start, even when the store
	// is slow.
	ticketMargin = 400 * time.Millisecond

	// questionRetryDelay is the time between a question without an answer and
	// the next one.
	questionRetryDelay = 300 * time.Millisecond
)

// Question is a question to the adviser: which of the runners may run a step.
type Question struct {
	Job        string
	Occurrence int
	Step       int
	Runners    []string
	Advice     batch.AdviceTimes // how long the adviser takes
	born       []int64           // incarnations of the runners
}

// advice is the adviser's answer about one runner for one step.
type advice struct {
	born   int64  // the incarnation that it applies to
	ticket string // empty: the runner may not run the step
	until  steady.Time
}

// stepAdvice holds the adviser's answers about the runners for one step, and the
// state of the questions.
type stepAdvice struct {
	byRunner        map[string]advice
	questionPending bool        // a question was sent and isn't answered
	nextQuestionAt  steady.Time // earliest time of the next question
}

func (u *unit) stepAdvice() *stepAdvice {
	key := stepKey{u.occurrence, u.step}
	if u.job.adviceByStep == nil {
		u.job.adviceByStep = make(map[stepKey]*stepAdvice)
	}
	s := u.job.adviceByStep[key]
	if s == nil {
		s = &stepAdvice{byRunner: make(map[string]advice)}
		u.job.adviceByStep[key] = s
	}
	return s
}

func (u *unit) needsAdvice() bool { return u.job.spec.Advice != nil }

// forRunner returns the advice about the current incarnation of a runner.
func (s *stepAdvice) forRunner(r *runner) (a advice, found bool) {
	a, found = s.byRunner[r.ID]
	return a, found && a.born == r.Born
}

// permitted reports whether the unit may start on r now and until margin has
// passed.
func (u *unit) permitted(r *runner, now steady.Time, margin time.Duration) bool {
	if !u.needsAdvice() {
		return true
	}
	a, found := u.stepAdvice().forRunner(r)
	return found && a.ticket != "" && now.Add(margin).Before(a.until)
}

// ticket returns the adviser's ticket that the unit's starts on r carry.
func (u *unit) ticket(r *runner) string {
	if !u.needsAdvice() {
		return ""
	}
	a, _ := u.stepAdvice().forRunner(r)
	return a.ticket
}

// HasAdvisedJobs reports whether the steps of any active job need advice.
func (c *Core) HasAdvisedJobs() bool {
	return slices.ContainsFunc(c.active, func(j *job) bool { return j.spec.Advice != nil })
}

// NextQuestion returns the most urgent question for the adviser. The caller
// must follow each one with a call of HandleAdvice or HandleAdviceFailure.
func (c *Core) NextQuestion(now steady.Time) (Question, bool) {
	var best *unit
	var runners []slot
	for _, j := range c.active {
		if j.spec.Advice == nil || best != nil && j.spec.Priority >= best.job.spec.Priority {
			continue
		}
		if u, found := c.firstUnitToAsk(j, now); u != nil {
			best, runners = u, found
		}
	}
	if best == nil {
		return Question{}, false
	}
	best.stepAdvice().questionPending = true
	q := Question{Job: best.job.spec.ID, Occurrence: best.occurrence, Step: best.step, Advice: *best.job.spec.Advice}
	for _, s := range runners {
		q.Runners = append(q.Runners, s.runner.ID)
		q.born = append(q.born, s.runner.Born)
	}
	return q, true
}

// firstUnitToAsk returns the first unit of a job for which a question is due.
// Units of one step wait for the same answers, so only one unit of each step is
// considered.
func (c *Core) firstUnitToAsk(j *job, now steady.Time) (*unit, []slot) {
	checked := make(map[stepKey]bool)
	for _, u := range j.units {
		key := stepKey{u.occurrence, u.step}
		if checked[key] || !u.waiting() || u.eligibleSince.IsZero() {
			continue
		}
		checked[key] = true
		if found := c.runnersToAsk(u, now); found != nil {
			return u, found
		}
	}
	return nil, nil
}

// runnersToAsk returns the runners to ask about for a waiting unit: first those
// with room that were approved before, then those with room that were never
// asked about, the best first, and then others that were never asked about. It
// returns nil when no runner with room needs a question, or when the unit could
// not be placed even if all of them were approved.
func (c *Core) runnersToAsk(u *unit, now steady.Time) []slot {
	if c.awaitsPreemption(u, now) || u.stepAdvice().questionPending || now.Before(u.stepAdvice().nextQuestionAt) {
		return nil
	}
	var out []slot
	tasks, offered := 0, roomNow
	if c.mayPreempt(u, now) {
		offered = roomByStops
	}
	for _, s := range c.openSlots(u, offered, now) {
		a, found := u.stepAdvice().forRunner(s.runner)
		if found && a.ticket == "" {
			continue
		}
		tasks += s.tasks
		if !u.permitted(s.runner, now, ticketMargin) {
			out = append(out, s)
		}
	}
	if tasks < u.tasks {
		return nil
	}
	slices.SortFunc(out, func(a, b slot) int {
		_, knownA := u.stepAdvice().forRunner(a.runner)
		_, knownB := u.stepAdvice().forRunner(b.runner)
		return cmp.Or(compareBool(!knownA, !knownB), compareSlots(a, b))
	})
	if len(out) == 0 {
		return nil
	}
	out = append(out, c.unaskedRunners(u, out, now)...)
	return out[:min(len(out), questionSize(u.job.spec.Advice))]
}

// unaskedRunners returns the runners that were never asked about and have no
// room now. They are added to a question because which runners may run the step
// doesn't change, and because the time that a question takes hardly depends on
// the number of runners in it.
func (c *Core) unaskedRunners(u *unit, named []slot, now steady.Time) []slot {
	all := c.openSlots(u, roomEver, now)
	all = slices.DeleteFunc(all, func(s slot) bool {
		_, known := u.stepAdvice().forRunner(s.runner)
		return known || slices.ContainsFunc(named, func(n slot) bool { return n.runner == s.runner })
	})
	slices.SortFunc(all, compareSlots)
	return all
}

// questionSize returns how many runners a question names: within the bounds, so
// many that their times per runner add up to the adviser's decision time.
func questionSize(a *batch.AdviceTimes) int {
	if a.TimePerRunner <= 0 {
		return questionSizeMax
	}
	return min(max(questionSizeMin, int(a.DecisionTime/a.TimePerRunner)), questionSizeMax)
}

// HandleAdvice applies the adviser's answer to a question that was sent at
// asked.
func (c *Core) HandleAdvice(q Question, a batch.Approval, asked steady.Time) {
	s := c.stepAdviceFor(q)
	if s == nil {
		return
	}
	s.questionPending = false
	for i, id := range q.Runners {
		s.byRunner[id] = advice{born: q.born[i], ticket: a.Tickets[id], until: asked.Add(a.Valid)}
	}
}

// HandleAdviceFailure notes that a question got no answer.
func (c *Core) HandleAdviceFailure(q Question, now steady.Time) {
	if s := c.stepAdviceFor(q); s != nil {
		s.questionPending = false
		s.nextQuestionAt = now.Add(questionRetryDelay)
	}
}

func (c *Core) stepAdviceFor(q Question) *stepAdvice {
	j := c.jobs[q.Job]
	if j == nil {
		return nil
	}
	return j.adviceByStep[stepKey{q.Occurrence, q.Step}]
}
