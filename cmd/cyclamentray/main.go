// Command cyclamentray is the command-line client of operators and callers.
// Its exit codes are listed in docs/operators/cli.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cyclamentray/cyclamentray/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
