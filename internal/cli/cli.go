// Package cli is the command line for operators and callers. The program
// cyclamentray calls Run once; the package holds no state besides the options of
// that run.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/client"
)

// Globals are the options that every command takes.
type Globals struct {
	Address   string `long:"address" env:"CYCLAMENTRAY_ADDRESS" default:"http://127.0.0.1:7070" description:"URL of an entry host"`
	TokenFile string `long:"token-file" env:"CYCLAMENTRAY_TOKEN_FILE" description:"file that holds the caller's or operator's token"`
	Token     string `long:"token" env:"CYCLAMENTRAY_TOKEN" description:"the token itself; a token file is safer, since other users can list command lines"`
	Output    string `long:"output" choice:"text" choice:"json" default:"text" description:"form of what is printed"`
	CA        string `long:"ca" description:"file of CA certificates for an https address"`
}

// app holds what all commands share.
type app struct {
	globals *Globals
	ctx     context.Context
	out     io.Writer
}

// Run parses args, runs the command that they name and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var globals Globals
	a := &app{globals: &globals, ctx: ctx, out: out}
	parser := flags.NewNamedParser("cyclamentray", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operates a cyclamentray deployment: documents, jobs, requests and failure domains."
	if _, err := parser.AddGroup("Global options", "", &globals); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	if err := addCommands(parser, a); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, &globals, out, errOut)
}

// reportError prints the error of a command, as JSON or as text, and returns the
// exit code.
func reportError(err error, globals *Globals, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		return reportUsage(usage, out, errOut)
	}
	typed := apierr.From(err)
	if globals.Output == "json" {
		_ = json.NewEncoder(errOut).Encode(map[string]*apierr.Error{"error": typed})
	} else {
		fmt.Fprintln(errOut, "cyclamentray: "+typed.Error())
	}
	return ExitCode(typed)
}

func reportUsage(usage *flags.Error, out, errOut io.Writer) int {
	if usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, usage.Message)
		return ExitOK
	}
	fmt.Fprintln(errOut, "cyclamentray: "+usage.Message)
	return ExitUsage
}

// client returns a client of the entry host named by the options.
func (a *app) client() (*client.Client, error) {
	token := a.globals.Token
	if a.globals.TokenFile != "" {
		data, err := os.ReadFile(a.globals.TokenFile)
		if err != nil {
			return nil, apierr.Invalid("--token-file", err.Error(), "name a file that can be read")
		}
		token = strings.TrimSpace(string(data))
	}
	if a.globals.CA == "" {
		return client.New(a.globals.Address, token), nil
	}
	hc, err := httpsClient(a.globals.CA)
	if err != nil {
		return nil, err
	}
	return client.NewWithHTTP(a.globals.Address, token, hc), nil
}

// print writes value as JSON if the options ask for it, or else text.
func (a *app) print(value any, text string) error {
	if a.globals.Output != "json" {
		_, err := fmt.Fprintln(a.out, text)
		return err
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

type command struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser, a *app) error {
	commands := append(jobCommands(a), documentCommands(a)...)
	commands = append(commands, requestCommands(a)...)
	commands = append(commands, command{"dev", "Run a whole deployment on loopback",
		"Boots entry hosts of two failure domains and stand-ins for the platform, workers and upstreams in one process.", &devCommand{app: a}})
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return addFailureDomainCommands(parser, a)
}
