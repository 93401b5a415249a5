// Command lab2 plays the script cases of the second review: it starts hosts of the query
// tier as processes, and is their platform, their servers and their consumers itself.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldNot  = 2
	recordFile    = "record.txt"
	recordFileBit = 0o644
)

// scenarios are the cases by name. Each returns whether its rule was broken.
var scenarios = map[string]func(*lab, bool) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the case, for record.txt")
	program := flag.String("program", "target/samphirebeam-edge", "the program of the deploy file")
	settings := flag.String("config", "deploy/edge.yaml", "the settings of the deploy file")
	flag.Parse()
	scenario := scenarios[*name]
	if scenario == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitCouldNot
	}
	l, err := newLab(*folder, *program, *settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		l.close()
		os.Exit(exitCouldNot)
	}()
	broken, err := scenario(l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitCouldNot
	case broken:
		l.note("result: the rule was broken")
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}
