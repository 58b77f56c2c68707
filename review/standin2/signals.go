package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// children are the processes that the program has started and that may still run.
var children struct {
	mu   sync.Mutex
	list []*os.Process
}

func noteChild(p *os.Process) {
	children.mu.Lock()
	defer children.mu.Unlock()
	children.list = append(children.list, p)
}

// endChildrenOnSignal ends the processes and the program when it is told to stop.
func endChildrenOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-told
		children.mu.Lock()
		for _, p := range children.list {
			_ = p.Kill() // fails for one that has ended
		}
		os.Exit(exitNotRun)
	}()
}
