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

// The defaults of the flags.
const (
	defaultOperatorAddress = "127.0.0.1:7103"
	defaultCallerAddress   = "127.0.0.1:7102"
	defaultTimeout         = 15 * time.Second
	defaultWaitTimeout     = 30 * time.Second
	envPrefix              = "SAMPHIRECTL"
)

// IO is where the client reads and writes.
type IO struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal says that Err is a terminal, where progress is shown.
	Terminal bool
}

// Stdio returns the process's standard streams.
func Stdio() IO {
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal}
}

// app holds what the commands share.
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

// bareFlags returns a flag set for a command that only has sub-commands.
func (a *app) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.io.Err)
	return fs
}

// flags returns a flag set with what all commands take.
func (a *app) commonFlags(name string) *flag.FlagSet {
	fs := a.newFlagSet(name)
	fs.StringVar(&a.operatorAddresses, "host", defaultOperatorAddress, "operator addresses ip:port of hosts, tried in order, separated by commas")
	fs.StringVar(&a.output, "o", formatTable, "output: table, json or yaml")
	fs.StringVar(&a.user, "operator", os.Getenv("USER"), "who you are, for the audit trail")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "longest wait for one host's answer")
	return fs
}

// command completes a command: its flags may stand after its arguments, and
// come from the environment too.
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

// interleave parses flags that stand between and after arguments.
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

// flagGiven says whether a flag was set on the command line or by the
// environment.
func isFlagSet(fs *flag.FlagSet, name string) bool {
	given := false
	fs.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	return given
}
