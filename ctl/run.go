package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Default flag values and the prefix of the environment variables that set
// flags.
const (
	defaultOperatorAddress = "127.0.0.1:7103"
	defaultCallerAddress   = "127.0.0.1:7102"
	defaultTimeout         = 15 * time.Second
	defaultWaitTimeout     = 30 * time.Second
	envPrefix              = "SAMPHIRECTL"
)

// IO holds the streams that the client reads and writes.
type IO struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal reports whether Err is a terminal; progress is shown only there.
	Terminal bool
}

// Stdio returns the process's standard streams.
func Stdio() IO {
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal}
}

// app holds the streams and the flag values that the commands share.
type app struct {
	io                IO
	operatorAddresses string
	callerAddresses   string
	output            string
	user              string
	timeout           time.Duration
}

// Run runs one command line and returns the exit code.
func Run(ctx context.Context, args []string, streams IO) ExitCode {
	a := &app{io: streams}
	err := a.root().ParseAndRun(ctx, args)
	var noExec ffcli.NoExecError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &noExec):
		_, _ = fmt.Fprintln(a.io.Err, noExec.Command.UsageFunc(noExec.Command))
		return ExitUsage
	}
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(a.io.Err, "samphirectl: "+text)
	}
	return exitCodeOf(err)
}

// newFlagSet returns an empty flag set, enough for a command that only has
// sub-commands.
func (a *app) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.io.Err)
	return fs
}

// commonFlags returns a flag set with the flags that all commands share.
func (a *app) commonFlags(name string) *flag.FlagSet {
	fs := a.newFlagSet(name)
	fs.StringVar(&a.operatorAddresses, "host", defaultOperatorAddress, "operator addresses ip:port of hosts, tried in order, separated by commas")
	fs.StringVar(&a.output, "o", formatTable, "output: table, json or yaml")
	fs.StringVar(&a.user, "operator", os.Getenv("USER"), "who you are, for the audit trail")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "longest wait for one host's answer")
	return fs
}

// completeCommand sets the command's Exec and Options: flags may follow
// arguments and may also be set by environment variables.
func (a *app) completeCommand(c *ffcli.Command, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	c.Options = []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
	c.Exec = func(ctx context.Context, args []string) error {
		positional, err := parseInterspersed(c.FlagSet, args)
		if err != nil {
			return usageErrorf("%v", err)
		}
		if err := checkFormat(a.output); err != nil {
			return err
		}
		return exec(ctx, positional)
	}
	return c
}

// parseInterspersed parses the flags between and after the arguments and
// returns the arguments; package flag stops at the first argument.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		positional = append(positional, args[0])
		if err := fs.Parse(args[1:]); err != nil {
			return nil, err
		}
		args = fs.Args()
	}
	return positional, nil
}

func (a *app) client() (*client, error) { return newClient(a.operatorAddresses, a.timeout) }

func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.io.Out, format, args...)
}

// isFlagSet reports whether a flag was set on the command line or by an
// environment variable.
func isFlagSet(fs *flag.FlagSet, name string) bool {
	given := false
	fs.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	return given
}
