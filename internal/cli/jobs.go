package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/client"
	"github.com/cyclamentray/cyclamentray/job"
)

const pollInterval = 200 * time.Millisecond

func jobCommands(a *app) []command {
	return []command{
		{"submit", "Submit a job", "Submits a gang of equal tasks. Submitting the same name again finds the first.", &submitCommand{app: a}},
		{"status", "Show a job, or list jobs", "Shows one job, given as ORGANISATION/SERVICE/NAME, or lists those that the caller may see.", &statusCommand{app: a}},
		{"cancel", "Cancel a job", "Cancels a queued job, or stops a running one after a checkpoint.", &cancelCommand{app: a}},
		{"explain", "Tell why a job waits or how it ended", "Tells why a job waits or what became of it.", &explainCommand{app: a}},
		{"account", "Tell a batch job's story from logs", "Reads hosts' logs and prints, in order of time, what was decided about a batch job and what happened around it.", &accountCommand{app: a}},
	}
}

// parseJob reads a job's identity, ORGANISATION/SERVICE/NAME.
func parseJob(text string) (job.ID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return job.ID{}, apierr.Invalid("job", fmt.Sprintf("%q is not a job's identity", text), "write ORGANISATION/SERVICE/NAME")
	}
	return job.ID{Organisation: parts[0], Service: parts[1], Name: parts[2]}, nil
}

// jobAndClient returns the identity of the job in an argument and a client of the
// entry host.
func (a *app) jobAndClient(arg string) (job.ID, *client.Client, error) {
	id, err := parseJob(arg)
	if err != nil {
		return job.ID{}, nil, err
	}
	cl, err := a.client()
	return id, cl, err
}

type jobArg struct {
	Job string `positional-arg-name:"ORGANISATION/SERVICE/NAME" required:"yes"`
}

type submitCommand struct {
	app           *app
	Template      string        `long:"template" required:"yes" description:"job template in the service's document"`
	Tasks         int           `long:"tasks" default:"1" description:"tasks in the gang, 1 to 64"`
	Accelerators  int           `long:"accelerators" default:"1" description:"accelerators of each task"`
	Adjacency     string        `long:"adjacency" choice:"worker" choice:"rack" choice:"failure-domain" default:"rack" description:"how near to each other the tasks must run"`
	Run           time.Duration `long:"run" description:"expected run time, such as 90m; the template's when not given"`
	Urgent        bool          `long:"urgent" description:"start ahead of other work; the template must allow it"`
	Checkpoint    bool          `long:"checkpoint" description:"tasks can save their work when asked"`
	FailureDomain string        `long:"failure-domain" description:"where to run; chosen by the scheduler when not given"`
	Wait          bool          `long:"wait" description:"wait until the job has ended"`
	Args          jobArg        `positional-args:"yes"`
}

// Execute submits the job.
func (c *submitCommand) Execute([]string) error {
	id, cl, err := c.app.jobAndClient(c.Args.Job)
	if err != nil {
		return err
	}
	rec, err := cl.Submit(c.app.ctx, c.spec(id))
	if err != nil {
		return err
	}
	if c.Wait {
		rec, err = c.waitUntilEnded(cl, id)
		if err != nil {
			return err
		}
	}
	return c.app.print(rec, describeJob(rec))
}

func (c *submitCommand) spec(id job.ID) job.Spec {
	return job.Spec{
		ID:            id,
		Template:      c.Template,
		Shape:         job.Shape{Tasks: c.Tasks, AcceleratorsPerTask: c.Accelerators, Adjacency: job.Adjacency(c.Adjacency)},
		Urgent:        c.Urgent,
		DeclaredRun:   c.Run,
		Checkpoint:    c.Checkpoint,
		FailureDomain: c.FailureDomain,
	}
}

func (c *submitCommand) waitUntilEnded(cl *client.Client, id job.ID) (job.Record, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		rec, err := cl.Status(c.app.ctx, id)
		if err != nil {
			return job.Record{}, err
		}
		if rec.State.Terminal() {
			return rec, nil
		}
		select {
		case <-c.app.ctx.Done():
			return rec, apierr.New(apierr.Unavailable, "stopped waiting; the job goes on", "ask for its status later")
		case <-ticker.C:
		}
	}
}

type statusCommand struct {
	app   *app
	State string `long:"state" description:"list only jobs in this state"`
	Args  struct {
		Job string `positional-arg-name:"ORGANISATION/SERVICE/NAME"`
	} `positional-args:"yes"`
}

// Execute shows one job or lists several.
func (c *statusCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	if c.Args.Job == "" {
		return c.listJobs(cl)
	}
	id, err := parseJob(c.Args.Job)
	if err != nil {
		return err
	}
	rec, err := cl.Status(c.app.ctx, id)
	if err != nil {
		return err
	}
	return c.app.print(rec, describeJob(rec))
}

func (c *statusCommand) listJobs(cl *client.Client) error {
	list, err := cl.Jobs(c.app.ctx, job.State(c.State))
	if err != nil {
		return err
	}
	lines := make([]string, 0, len(list.Jobs)+1)
	lines = append(lines, fmt.Sprintf("%d jobs", len(list.Jobs)))
	for _, rec := range list.Jobs {
		lines = append(lines, describeJob(rec))
	}
	return c.app.print(list, strings.Join(lines, "\n"))
}

// describeJob returns one line about a job.
func describeJob(rec job.Record) string {
	s := rec.Spec.Shape
	line := fmt.Sprintf("%s: %s, %d x %d accelerators", rec.Spec.ID, rec.State, s.Tasks, s.AcceleratorsPerTask)
	if rec.FailureDomain != "" {
		line += " in " + rec.FailureDomain
	}
	if len(rec.Workers) > 0 {
		line += " on " + strings.Join(rec.Workers, ",")
	}
	if rec.Reason != "" {
		line += " (" + rec.Reason + ")"
	}
	return line
}

type cancelCommand struct {
	app  *app
	Args jobArg `positional-args:"yes"`
}

// Execute cancels the job.
func (c *cancelCommand) Execute([]string) error {
	id, cl, err := c.app.jobAndClient(c.Args.Job)
	if err != nil {
		return err
	}
	rec, err := cl.Cancel(c.app.ctx, id)
	if err != nil {
		return err
	}
	return c.app.print(rec, describeJob(rec))
}

type explainCommand struct {
	app  *app
	Args jobArg `positional-args:"yes"`
}

// Execute prints the explanation of a job.
func (c *explainCommand) Execute([]string) error {
	id, cl, err := c.app.jobAndClient(c.Args.Job)
	if err != nil {
		return err
	}
	why, err := cl.Explain(c.app.ctx, id)
	if err != nil {
		return err
	}
	return c.app.print(why, describeExplanation(why))
}

func describeExplanation(e api.Explanation) string {
	lines := []string{describeJob(e.Record)}
	if e.Why != "" {
		lines = append(lines, e.Why)
	}
	for _, t := range e.History {
		line := fmt.Sprintf("  %s %s", t.At.UTC().Format(time.RFC3339), t.State)
		if t.Reason != "" {
			line += ": " + t.Reason
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// printRaw writes raw as JSON output, and as indented text otherwise.
func (a *app) printRaw(raw json.RawMessage) error {
	indented, err := json.MarshalIndent(raw, "", "  ")
	if err != nil {
		return err
	}
	return a.print(raw, string(indented))
}
