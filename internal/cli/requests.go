package cli

import (
	"fmt"
	"strings"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
)

func requestCommands(a *app) []command {
	return []command{
		{"request", "Send a request to a service", "Sends one request to a service's upstreams and prints the answer.", &requestCommand{app: a}},
		{"outcome", "Tell whether a request ran", "Tells the outcome of a request that carried an idempotency key.", &outcomeCommand{app: a}},
		{"top", "Show hosts, revisions and failure domains", "Shows each entry host's revision and age, and each failure domain's workers and jobs.", &topCommand{app: a}},
	}
}

// outcomeRan is the value of the header Cyclamentray-Outcome of a request that ran.
const outcomeRan = "ran"

type requestCommand struct {
	app    *app
	Method string `long:"method" default:"GET" description:"HTTP method"`
	Key    string `long:"key" description:"idempotency key: with it, the request runs at most once however often it is sent"`
	Data   string `long:"data" description:"body to send"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Path    string `positional-arg-name:"PATH" required:"yes"`
	} `positional-args:"yes"`
}

// Execute sends the request.
func (c *requestCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	answer, err := cl.Request(c.app.ctx, strings.ToUpper(c.Method), c.Args.Service, c.Args.Path, c.Key, []byte(c.Data))
	if err != nil {
		return err
	}
	if answer.Outcome != outcomeRan {
		return httpjson.ReadError(answer.Status, answer.Body)
	}
	return c.app.print(answer, fmt.Sprintf("%d, outcome %s\n%s", answer.Status, answer.Outcome, answer.Body))
}

type outcomeCommand struct {
	app  *app
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Key     string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the outcome of an idempotency key.
func (c *outcomeCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	raw, err := cl.Outcome(c.app.ctx, c.Args.Service, c.Args.Key)
	if err != nil {
		return err
	}
	return c.app.printRaw(raw)
}

type topCommand struct {
	app *app
}

// Execute prints the state of the deployment.
func (c *topCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	top, err := cl.Top(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.print(top, describeTop(top))
}

func describeTop(top api.Top) string {
	var b strings.Builder
	for _, h := range top.Hosts {
		fmt.Fprintf(&b, "%-12s %-8s revision %d, confirmed %s ago", h.Name, h.FailureDomain, h.Revision, h.ConfirmedAge.Round(pollInterval/2))
		if h.HeartbeatAge != 0 {
			fmt.Fprintf(&b, ", heard %s ago", h.HeartbeatAge.Round(pollInterval/2))
		}
		if h.Term != 0 {
			fmt.Fprintf(&b, ", scheduler under term %d", h.Term)
		}
		if h.Draining {
			b.WriteString(", draining")
		}
		if h.UnreachableReason != "" {
			b.WriteString(", not reached: " + h.UnreachableReason)
		}
		b.WriteString("\n")
	}
	for _, d := range top.FailureDomains {
		state := "in"
		if d.Out {
			state = "out"
		}
		fmt.Fprintf(&b, "%-12s %-8s %d workers, %d accelerators", d.Name, state, d.Workers, d.Accelerators)
		if d.UnknownReason != "" {
			b.WriteString(", jobs not known: " + d.UnknownReason + "\n")
			continue
		}
		fmt.Fprintf(&b, ", %d queued, %d running\n", d.Queued, d.Running)
		for _, deficit := range d.Deficits {
			b.WriteString("  guarantee not backed: " + deficit + "\n")
		}
	}
	return strings.TrimSuffix(b.String(), "\n")
}
