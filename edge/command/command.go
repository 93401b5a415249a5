// Package command is the command line of samphirebeam-edge.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/edge"
	"github.com/samphirebeam/samphirebeam/internal/signals"
	"github.com/samphirebeam/samphirebeam/platform"
)

// version is set at link time.
var version = "development"

// revisionLength is how much of a commit names a build.
const revisionLength = 12

// buildName returns the version of the program, with the commit from which it was built if
// the build recorded one.
func buildName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= revisionLength {
			return version + " " + s.Value[:revisionLength]
		}
	}
	return version
}

// heapFraction is the fraction of the host's memory limit at which the garbage
// collector runs more often to keep the heap small; the rest is headroom for
// stacks and buffers outside the heap.
const heapFraction = 0.7

// Main runs the command with the arguments of the process. The options apply to the
// host that it runs.
func Main(options ...edge.Option) {
	err := command(options).ParseAndRun(signals.StopContext(), os.Args[1:])
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	case errors.As(err, new(inputError)):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command(options []edge.Option) *ffcli.Command {
	return &ffcli.Command{
		Name:       "samphirebeam-edge",
		ShortUsage: "samphirebeam-edge <run|check|explain|version> [flags]",
		ShortHelp:  "one host of the query tier on the users' platform",
		Subcommands: []*ffcli.Command{
			withSettings("run", "run the host until SIGTERM, then stop gracefully", func(ctx context.Context, settings edge.Settings) error {
				return run(ctx, settings, options)
			}),
			withSettings("check", "validate the settings and print the effective values", check),
			explainCommand(),
			{
				Name: "version", ShortUsage: "samphirebeam-edge version", ShortHelp: "print the version",
				Exec: func(context.Context, []string) error {
					_, err := fmt.Println("samphirebeam-edge", buildName())
					return err
				},
			},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func withSettings(name, help string, exec func(context.Context, edge.Settings) error) *ffcli.Command {
	fs := flag.NewFlagSet("samphirebeam-edge "+name, flag.ContinueOnError)
	config := fs.String("config", "", "YAML settings file; defaults hold without one")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "samphirebeam-edge " + name + " [-config FILE]",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unexpected argument %q", args[0])
			}
			settings, err := edge.ReadSettings(*config)
			if err != nil {
				return err
			}
			return exec(ctx, settings)
		},
	}
}

func run(ctx context.Context, settings edge.Settings, options []edge.Option) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	platformSettings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done(): // stopped before any port was open
		return nil
	default:
	}
	debug.SetGCPercent(settings.GarbagePercent)
	debug.SetMemoryLimit(int64(math.Round(heapFraction * float64(platformSettings.MemoryBytes))))
	host, err := edge.New(settings, platformSettings, os.Stdout, append(slices.Clip(options), edge.WithBuild(buildName()))...)
	if err != nil {
		return err
	}
	go reload(signals.Reloads(), path, host)
	return host.Run(ctx)
}

// reload reads the platform's settings again after each request, until the process ends.
func reload(requests <-chan os.Signal, path string, host *edge.Host) {
	for range requests {
		platformSettings, err := platform.ReadSettings(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "reload:", err)
			continue
		}
		host.Reload(platformSettings)
	}
}

func check(_ context.Context, settings edge.Settings) error {
	printed, err := settings.YAML()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(printed)
	return err
}
