//go:build review

// Command standin runs a case of the review: it starts stand-ins of the platform's
// store, of runners and of clients, starts the hosts of the system as processes, makes
// the case's disruption unless TROUBLE is 0, and checks one rule from outside. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases returns whether the rule held, by the case's name.
var cases = map[string]func(log *record, trouble bool) (held bool, err error){
	"foreign-entry": foreignEntry,
	"lasting":       lasting,
	"late-write":    lateWrite,
	"many-ends":     manyEnds,
	"pending":       pendingCount,
	"retry":         retry,
	"takeover":      takeover,
	"takeovers":     takeovers,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	log := &record{out: out, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, trouble: %t", os.Args[1], trouble)
	held, err := cases[os.Args[1]](log, trouble)
	switch {
	case err != nil:
		log.printf("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case held:
		log.printf("result: the rule held")
		fmt.Println("the rule held")
		return 0
	default:
		log.printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
}
