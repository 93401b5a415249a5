// Command beamload runs a scenario file against a fleet that it starts: it sends
// open-loop load, injects timed faults and compares policy sets.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := command().ParseAndRun(ctx, os.Args[1:])
	stop()
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "beamload:", err)
		os.Exit(1)
	}
}

func command() *ffcli.Command {
	fs := flag.NewFlagSet("beamload", flag.ContinueOnError)
	scenario := fs.String("scenario", "", "scenario file, YAML")
	bin := fs.String("bin", "bin", "folder of the programs samphirebeamd and standin")
	jsonOut := fs.String("json", "", "file for the result as JSON")
	htmlOut := fs.String("html", "", "file for the report as HTML")
	return &ffcli.Command{
		Name:       "beamload",
		ShortUsage: "beamload -scenario FILE [-json FILE] [-html FILE]",
		ShortHelp:  "measure a tier under open-loop load and faults",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if *scenario == "" || len(args) > 0 {
				return flag.ErrHelp
			}
			return measure(ctx, *scenario, *bin, *jsonOut, *htmlOut)
		},
	}
}

func measure(ctx context.Context, file, bin, jsonOut, htmlOut string) error {
	scenario, err := load.ReadScenario(file)
	if err != nil {
		return err
	}
	result, err := load.Run(ctx, scenario, bin)
	if err != nil {
		return err
	}
	fmt.Printf("%s, seed %d\n", result.Scenario, result.Seed)
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := writeFile(jsonOut, result.WriteJSON); err != nil {
		return err
	}
	return writeFile(htmlOut, result.WriteHTML)
}

func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
