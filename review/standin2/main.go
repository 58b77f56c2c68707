// Command standin2 plays the cases of the second review: it starts the program under
// review as separate processes beside stand-ins of the platform, of runners and of
// clients, and judges what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*recorder, bool) (string, error){
	"twice-drain-cut":  twiceDrainCut,
	"lost-serving":     lostServing,
	"lost-crash":       lostCrash,
	"route-other-kind": routeOtherKind,
	"lost-restart":     lostRestart,
	"lost-reservation": lostReservation,
}

// logDir, when set, receives the logs of the program's processes.
var logDir string

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that the record is written to")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.StringVar(&logDir, "logs", "", "directory for the logs of the program's processes; empty: they are dropped")
	flag.Parse()
	endChildrenOnSignal()
	os.Exit(run(*name, *record, *trouble))
}

func run(name, record string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "standin2: no case is called %q\n", name)
		return exitNotRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	}
	rec.note("case %s, trouble %t, %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	broken, err := play(rec, trouble)
	switch {
	case err != nil:
		rec.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	case broken != "":
		rec.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.note("held")
	fmt.Println("held")
	return exitHeld
}

// errNotPlayed is the error of a case whose situation did not come about.
var errNotPlayed = errors.New("the situation of the case did not come about")
