// Command lab3 plays the scripts of the third review: it starts stand-ins of the platform,
// of servers and of consumers, and the edge program as the deploy file says.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is how long a script may run.
const longest = 110 * time.Second

// scenarios are the scripts by name. Each returns held, broken or couldNot.
var scenarios = map[string]func(*lab) (int, error){}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		var names []string
		for name := range scenarios {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintln(os.Stderr, "usage: lab3 SCENARIO RECORD; scenarios:", names)
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	l, err := newLab(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	closeOnce := sync.OnceFunc(l.close)
	defer closeOnce()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		l.note("stopped before the end")
		closeOnce()
		os.Exit(couldNot)
	}()
	l.note("scenario %s, trouble %v", name, l.trouble)
	code, err := scenarios[name](l)
	if err != nil {
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	l.note("exit %d", code)
	return code
}
