// Command samphirebeam-soak runs seeded soak tests of samphirebeam-edge.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/standin/soak"
)

func main() {
	fs := flag.NewFlagSet("samphirebeam-soak", flag.ContinueOnError)
	program := fs.String("program", "bin/faultyedge", "the program under test, samphirebeam-edge with links that the soak can cut")
	folder := fs.String("folder", "out/soak", "settings and logs go below it")
	first := fs.Uint64("seed", 1, "first seed")
	seeds := fs.Uint64("seeds", 1, "how many seeds, one after the other")
	hosts := fs.Int("hosts", 5, "processes of the program")
	callers := fs.Int("callers", 12, "callers")
	faults := fs.Duration("faults", 8*time.Second, "how long faults begin")
	command := &ffcli.Command{
		Name: "samphirebeam-soak", ShortUsage: "samphirebeam-soak [flags]", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			failed := 0
			for seed := *first; seed < *first+*seeds; seed++ {
				result, err := soak.Run(soak.Config{
					Program: *program, Folder: filepath.Join(*folder, fmt.Sprint(seed)), Seed: seed,
					Hosts: *hosts, Callers: *callers, Faults: *faults,
				})
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed, err)
				}
				fmt.Printf("seed %d: %d promises broken; %v\n", seed, len(result.Violations), result.Answered)
				if len(result.Violations) > 0 {
					failed++
					fmt.Println("  faults:", result.Faults)
				}
				for _, broken := range result.Violations[:min(len(result.Violations), 10)] {
					fmt.Println("  broken:", broken)
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds broke a promise", failed, *seeds)
			}
			return nil
		},
	}
	if err := command.ParseAndRun(context.Background(), os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
