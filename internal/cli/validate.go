package cli

import (
	"fmt"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/settings"
)

type validateCommand struct {
	app      *app
	Settings bool     `long:"settings" description:"the files are settings of entry hosts, not documents"`
	InForce  bool     `long:"in-force" description:"check documents together with those in force at --address (needs an operator's token); otherwise they are checked as if nothing else existed"`
	Args     filesArg `positional-args:"yes"`
}

// Execute checks the files and reports all their mistakes at once.
func (c *validateCommand) Execute([]string) error {
	check := c.checkDocuments
	if c.Settings {
		check = c.checkSettings
	}
	if err := check(); err != nil {
		return err
	}
	return c.app.print(map[string]bool{"valid": true}, fmt.Sprintf("%d files are valid", len(c.Args.Files)))
}

func (c *validateCommand) checkSettings() error {
	var mistakes []*apierr.Error
	for _, name := range c.Args.Files {
		if _, err := settings.Load(name); err != nil {
			mistakes = append(mistakes, apierr.From(err))
		}
	}
	if e := apierr.Join(mistakes); e != nil {
		return e
	}
	return nil
}

func (c *validateCommand) checkDocuments() error {
	docs, err := config.LoadDocuments(c.Args.Files...)
	if err != nil {
		return err
	}
	existing, err := c.snapshotInForce()
	if err != nil {
		return err
	}
	return config.CheckDocuments(docs, existing)
}

// snapshotInForce returns the configuration to check the documents against, or nil
// without --in-force.
func (c *validateCommand) snapshotInForce() (*config.Snapshot, error) {
	if !c.InForce {
		return nil, nil
	}
	cl, err := c.app.client()
	if err != nil {
		return nil, err
	}
	reply, err := cl.Config(c.app.ctx)
	if err != nil {
		return nil, err
	}
	return config.SnapshotOf(reply.Revision, reply.Documents, reply.Retired), nil
}
