package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/batch/account"
)

type accountCommand struct {
	app  *app
	Args struct {
		Job  string   `positional-arg-name:"JOB" required:"yes"`
		Logs []string `positional-arg-name:"LOG" required:"1" description:"log files of the hosts, in any order"`
	} `positional-args:"yes"`
}

// Execute prints the events of a batch job that are found in the log files.
func (c *accountCommand) Execute([]string) error {
	var logs []io.Reader
	for _, path := range c.Args.Logs {
		file, err := os.Open(path)
		if err != nil {
			return apierr.Invalid("log", err.Error(), "name files that hold the hosts' standard output")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	a, err := account.Read(c.Args.Job, logs, func(lines int) { fmt.Fprintf(os.Stderr, "%d lines read\n", lines) })
	if err != nil {
		return err
	}
	return c.app.print(a, a.String())
}
