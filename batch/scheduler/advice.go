package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

const (
	// askUsual is how many runners one question names at least, if there are as
	// many: the users' target times count one question of that size a step.
	askUsual = 30

	// askLimit is how many the adviser takes.
	askLimit = 100

	// permitMargin is left of a permit when it is used: a record and a start,
	// also with a slow store.
	permitMargin = 400 * time.Millisecond

	// askAgain lies between a question without an answer and the next one.
	askAgain = 300 * time.Millisecond
)

// Question asks the adviser which runners may run a step.
type Question struct {
	Job        string
	Occurrence int
	Step       int
	Runners    []string
	Advice     batch.AdviceTimes // how long the adviser takes
	born       []int64           // incarnations of the runners
}

// permit is what the adviser said of one runner for one step.
type permit struct {
	born   int64  // the incarnation that it is for
	ticket string // empty: the runner may not run the step
	until  steady.Time
}

// permits is what is known of the runners for one step.
type permits struct {
	byRunner map[string]permit
	asking   bool        // a question is on its way
	next     steady.Time // no question is due before
}

func (u *unit) permits() *permits {
	key := stepKey{u.occurrence, u.step}
	if u.job.permits == nil {
		u.job.permits = make(map[stepKey]*permits)
	}
	p := u.job.permits[key]
	if p == nil {
		p = &permits{byRunner: make(map[string]permit)}
		u.job.permits[key] = p
	}
	return p
}

func (u *unit) advised() bool { return u.job.spec.Advice != nil }

// of returns what is known of a runner in its present incarnation.
func (p *permits) of(r *runner) (known permit, found bool) {
	known, found = p.byRunner[r.ID]
	return known, found && known.born == r.Born
}

// permitted reports whether the unit may start on r, also a while from now.
func (u *unit) permitted(r *runner, now steady.Time, margin time.Duration) bool {
	if !u.advised() {
		return true
	}
	known, found := u.permits().of(r)
	return found && known.ticket != "" && now.Add(margin).Before(known.until)
}

// ticket returns what the unit's starts on r carry.
func (u *unit) ticket(r *runner) string {
	if !u.advised() {
		return ""
	}
	known, _ := u.permits().of(r)
	return known.ticket
}

// AnyAdvised reports whether an active job's steps need advice.
func (c *Core) AnyAdvised() bool {
	return slices.ContainsFunc(c.active, func(j *job) bool { return j.spec.Advice != nil })
}

// Ask returns the most urgent question for the adviser. Each one that it returns
// must be followed by Advised or NotAdvised.
func (c *Core) Ask(now steady.Time) (Question, bool) {
	var best *unit
	var runners []slot
	for _, j := range c.active {
		if j.spec.Advice == nil || best != nil && j.spec.Priority >= best.job.spec.Priority {
			continue
		}
		if u, found := c.firstToAsk(j, now); u != nil {
			best, runners = u, found
		}
	}
	if best == nil {
		return Question{}, false
	}
	best.permits().asking = true
	q := Question{Job: best.job.spec.ID, Occurrence: best.occurrence, Step: best.step, Advice: *best.job.spec.Advice}
	for _, s := range runners {
		q.Runners = append(q.Runners, s.runner.ID)
		q.born = append(q.born, s.runner.Born)
	}
	return q, true
}

// firstToAsk returns the first unit of a job for which a question is due. Units
// of one step wait for the same answers, so one of each is looked at.
func (c *Core) firstToAsk(j *job, now steady.Time) (*unit, []slot) {
	looked := make(map[stepKey]bool)
	for _, u := range j.units {
		key := stepKey{u.occurrence, u.step}
		if looked[key] || !u.waiting() || u.since.IsZero() {
			continue
		}
		looked[key] = true
		if found := c.toAsk(u, now); found != nil {
			return u, found
		}
	}
	return nil, nil
}

// toAsk returns the runners to ask about for a unit that waits: those with room
// that were approved before, then those with room nobody asked about, the best
// first, and then others nobody asked about. It is nil when all answers together
// would not give the unit a place.
func (c *Core) toAsk(u *unit, now steady.Time) []slot {
	if u.awaitsRoom(now) || u.permits().asking || now.Before(u.permits().next) {
		return nil
	}
	var out []slot
	room := 0
	for _, s := range c.openSlots(u, now, func(r *runner) batch.Resources { return c.reachableRoom(u, r, now) }) {
		known, found := u.permits().of(s.runner)
		if found && known.ticket == "" {
			continue
		}
		room += s.tasks
		if !u.permitted(s.runner, now, permitMargin) {
			out = append(out, s)
		}
	}
	if room < u.tasks {
		return nil
	}
	slices.SortFunc(out, func(a, b slot) int {
		_, knownA := u.permits().of(a.runner)
		_, knownB := u.permits().of(b.runner)
		return cmp.Or(compareBool(!knownA, !knownB), compareSlots(a, b))
	})
	if len(out) == 0 {
		return nil
	}
	out = append(out, c.unknownWithoutRoom(u, out, now)...)
	return out[:min(len(out), questionSize(u.job.spec.Advice))]
}

// unknownWithoutRoom returns the runners nobody asked about that have no room
// now: who may run the step doesn't change, and a question's time hardly
// depends on the runners that it names.
func (c *Core) unknownWithoutRoom(u *unit, named []slot, now steady.Time) []slot {
	all := c.openSlots(u, now, func(r *runner) batch.Resources { return r.Capacity })
	all = slices.DeleteFunc(all, func(s slot) bool {
		_, known := u.permits().of(s.runner)
		return known || slices.ContainsFunc(named, func(n slot) bool { return n.runner == s.runner })
	})
	slices.SortFunc(all, compareSlots)
	return all
}

// questionSize returns how many runners a question names: as many as take the
// adviser as long as the question itself.
func questionSize(a *batch.AdviceTimes) int {
	if a.TimePerRunner <= 0 {
		return askLimit
	}
	return min(max(askUsual, int(a.DecisionTime/a.TimePerRunner)), askLimit)
}

// reachableRoom is what the unit could get on r, with others stopped for it if
// it may have that.
func (c *Core) reachableRoom(u *unit, r *runner, now steady.Time) batch.Resources {
	free := r.freeFor(u, now)
	if c.preempts(u, now) {
		free = free.Plus(r.preemptible(u))
	}
	return free
}

// Advised takes the adviser's answer to a question that was sent at asked.
func (c *Core) Advised(q Question, a batch.Approval, asked steady.Time) {
	p := c.permitsFor(q)
	if p == nil {
		return
	}
	p.asking = false
	for i, id := range q.Runners {
		p.byRunner[id] = permit{born: q.born[i], ticket: a.Tickets[id], until: asked.Add(a.Valid)}
	}
}

// NotAdvised notes that a question got no answer.
func (c *Core) NotAdvised(q Question, now steady.Time) {
	if p := c.permitsFor(q); p != nil {
		p.asking = false
		p.next = now.Add(askAgain)
	}
}

func (c *Core) permitsFor(q Question) *permits {
	j := c.jobs[q.Job]
	if j == nil {
		return nil
	}
	return j.permits[stepKey{q.Occurrence, q.Step}]
}
