package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/settings"
)

func documentCommands(a *app) []command {
	return []command{
		{"validate", "Check documents and settings", "Reads documents, or settings with --settings, and reports every mistake with its file, line and remedy.", &validateCommand{app: a}},
		{"apply", "Put documents in force", "Puts all the documents in the files in force together, or none of them.", &applyCommand{app: a}},
		{"documents", "List the documents in force", "Lists the documents in force and the retired services; with --output json, whole.", &documentsCommand{app: a}},
		{"retire", "Retire a service for good", "Retires a service: its queued jobs are cancelled, its running ones checkpointed and stopped, its new ones refused.", &retireCommand{app: a}},
		{"describe", "Describe every field", "Describes every field of documents or settings with its unit, default and range.", &describeCommand{app: a}},
	}
}

type filesArg struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

type applyCommand struct {
	app      *app
	Expected uint64   `long:"expected-revision" description:"refuse the edit unless this revision is in force; 0: whatever is in force"`
	Args     filesArg `positional-args:"yes"`
}

// Execute puts the documents in force.
func (c *applyCommand) Execute([]string) error {
	req := api.ApplyRequest{Expected: c.Expected}
	docs, err := config.LoadDocuments(c.Args.Files...)
	if err != nil {
		return err
	}
	if err := appendDocuments(&req, docs); err != nil {
		return err
	}
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	reply, err := cl.Apply(c.app.ctx, req)
	if err != nil {
		return err
	}
	return c.app.print(reply, fmt.Sprintf("%d documents accepted at revision %d", len(req.Documents), reply.Revision))
}

func appendDocuments(req *api.ApplyRequest, docs []config.Document) error {
	for _, doc := range docs {
		raw, err := json.Marshal(doc)
		if err != nil {
			return err
		}
		req.Documents = append(req.Documents, raw)
	}
	return nil
}

type documentsCommand struct {
	app *app
}

// Execute lists the documents in force.
func (c *documentsCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	reply, err := cl.Config(c.app.ctx)
	if err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("revision %d", reply.Revision)}
	for _, doc := range reply.Documents {
		lines = append(lines, doc.ID())
	}
	for _, name := range slices.Sorted(maps.Keys(reply.Retired)) {
		lines = append(lines, fmt.Sprintf("service/%s (retired at revision %d)", name, reply.Retired[name]))
	}
	return c.app.print(reply, strings.Join(lines, "\n"))
}

type retireCommand struct {
	app  *app
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute retires the service.
func (c *retireCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	reply, err := cl.Retire(c.app.ctx, c.Args.Service)
	if err != nil {
		return err
	}
	return c.app.print(reply, fmt.Sprintf("service %s retired at revision %d", c.Args.Service, reply.Revision))
}

type describeCommand struct {
	app  *app
	Args struct {
		What string `positional-arg-name:"documents|settings" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints every field of documents or settings.
func (c *describeCommand) Execute([]string) error {
	var b bytes.Buffer
	var err error
	switch c.Args.What {
	case "documents":
		err = config.Describe(&b)
	case "settings":
		err = settings.Describe(&b)
	default:
		err = apierr.Invalid("describe", fmt.Sprintf("%q is neither documents nor settings", c.Args.What), "write documents or settings")
	}
	if err != nil {
		return err
	}
	text := strings.TrimSpace(b.String())
	return c.app.print(map[string]string{"text": text}, text)
}

type failureDomainCommand struct {
	app  *app
	out  bool
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute takes the failure domain out of service or brings it back.
func (c *failureDomainCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	reply, err := cl.SetFailureDomain(c.app.ctx, c.Args.Name, c.out)
	if err != nil {
		return err
	}
	state := "in"
	if c.out {
		state = "out"
	}
	return c.app.print(reply, fmt.Sprintf("failure domain %s is %s at revision %d", c.Args.Name, state, reply.Revision))
}

func addFailureDomainCommands(parser *flags.Parser, a *app) error {
	group, err := parser.AddCommand("failure-domain", "Take a failure domain out of service or bring it back",
		"Takes a failure domain out of service or brings it back.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = group.AddCommand("out", "Take out of service",
		"No task starts there after a few seconds; its gangs are checkpointed and go elsewhere.", &failureDomainCommand{app: a, out: true})
	if err != nil {
		return err
	}
	_, err = group.AddCommand("in", "Bring back into service", "Tasks start there again.", &failureDomainCommand{app: a})
	return err
}
