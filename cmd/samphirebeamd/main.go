// Command samphirebeamd runs one host of the query tier.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/internal/signals"
	"github.com/samphirebeam/samphirebeam/settings"

	_ "github.com/samphirebeam/samphirebeam/plugin/all"
)

// version is set at link time.
var version = "development"

func main() {
	err := command().ParseAndRun(signals.StopContext(), os.Args[1:])
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "samphirebeamd",
		ShortUsage: "samphirebeamd <run|check|version> [flags]",
		ShortHelp:  "one host of the query tier",
		Subcommands: []*ffcli.Command{
			withSettings("run", "run the host until SIGTERM, then stop gracefully", run),
			withSettings("check", "validate the settings and print the effective values", check),
			{
				Name:       "version",
				ShortUsage: "samphirebeamd version",
				ShortHelp:  "print the version",
				Exec:       printVersion,
			},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func printVersion(context.Context, []string) error {
	_, err := fmt.Println("samphirebeamd", version)
	return err
}

// withSettings returns a command that reads the settings and passes them to
// exec.
func withSettings(name, help string, exec func(context.Context, settings.Settings) error) *ffcli.Command {
	fs := flag.NewFlagSet("samphirebeamd "+name, flag.ContinueOnError)
	source := settings.NewSource(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "samphirebeamd " + name + " [-config FILE] [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    source.Options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unexpected argument %q", args[0])
			}
			s, err := source.Read()
			if err != nil {
				return err
			}
			return exec(ctx, s)
		},
	}
}
