// Command standin runs one stand-in for an external system as a process, for
// tests: the platform's key-value service, a worker or an upstream. It prints its
// address as its first line.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/upstream"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

type options struct {
	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Name         string        `long:"name" description:"host name"`
	Accelerators int           `long:"accelerators" default:"8" description:"worker: accelerators"`
	Run          time.Duration `long:"run" default:"1s" description:"worker: run time of each task"`
	Slots        int           `long:"slots" default:"8" description:"upstream: requests served at once"`
	Work         time.Duration `long:"work" default:"5ms" description:"upstream: work of each request"`
	Args         struct {
		Kind string `positional-arg-name:"kv|worker|upstream" required:"yes"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	handler, err := newHandler(o)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func newHandler(o options) (http.Handler, error) {
	switch o.Args.Kind {
	case "kv":
		return kv.New(), nil
	case "worker":
		runTime := func(workerapi.Gang, int) time.Duration { return o.Run }
		return worker.New(worker.Options{Name: o.Name, Accelerators: o.Accelerators, RunTime: runTime}), nil
	case "upstream":
		return upstream.New(upstream.Options{Name: o.Name, Slots: o.Slots, Work: o.Work}), nil
	}
	return nil, fmt.Errorf("%q is no stand-in; write kv, worker or upstream", o.Args.Kind)
}
