package scheduler

// The constants by which decisions weigh one cost against another. All are ratios
// but coresPerAccelerator.
const (
	// coresPerAccelerator is the number of cores that an accelerator counts as in
	// core-seconds of work.
	coresPerAccelerator = 8

	// wasteFactorMin and wasteFactorMax bound the work that preemption for an
	// urgent unit may throw away, as a multiple of the unit's own work: at once,
	// and when its slack is used up. The caller of an urgent job that is in time
	// gains about as much as those of five times its work lose by running again.
	wasteFactorMin = 0.5
	wasteFactorMax = 4.0

	// wasteFactorInTime is the same bound for a preemption that decides whether
	// the urgent job is in time. A late urgent job has lost most of its value.
	wasteFactorInTime = 4.0

	// reservationShare is the part of the time that a gang can wait after which
	// runners are reserved for it.
	reservationShare = 0.5

	// slowdownTolerance is the part of a job's stretch that a slow runner may use
	// up; the rest is for waiting. It answers fleets of two speeds: work with time
	// to spare fills the slow runners, and urgent work finds room on the fast ones.
	slowdownTolerance = 0.7

	// failedRunnerFactor multiplies the cost of a runner for each failure of the
	// unit there. It exceeds the slowdown that a job with a stretch of 3 tolerates,
	// so that the job goes elsewhere.
	failedRunnerFactor = 3.0

	// moveTimeRatio is the largest ratio of the time after a move to the time
	// without it at which a unit is moved. Estimates of work and speed are off by
	// about as much as the gain.
	moveTimeRatio = 0.75

	// tooLateFactor is the multiple of a job's target time beyond which it no longer
	// matters to the caller how late the job is. Units that can't end before then
	// are placed after those that can still be in time.
	tooLateFactor = 3
)
