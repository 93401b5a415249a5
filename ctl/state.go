package ctl

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

// stateCommand returns the command "domain" or "upstream", with a sub-command
// for each state.
func (a *app) stateCommand(name string, kind resource.Kind) *ffcli.Command {
	usage := "samphirectl " + name + " in|leaving|out NAME [flags]"
	c := &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		FlagSet:    a.newFlagSet(name),
		ShortHelp:  "takes one " + name + " out of service and back in",
		LongHelp: `Leaving and out alike take no new work within seconds, and finish what runs. A
change that would leave a scope below its declared reach needs --override.

EXAMPLES
  samphirectl ` + name + ` out NAME --wait
  samphirectl ` + name + ` in NAME --wait`,
	}
	for _, state := range []resource.State{resource.StateIn, resource.StateLeaving, resource.StateOut} {
		c.Subcommands = append(c.Subcommands, a.setStateCommand(name, kind, state))
	}
	return c
}

func (a *app) setStateCommand(name string, kind resource.Kind, state resource.State) *ffcli.Command {
	fs := a.commonFlags(string(state))
	var change changeFlags
	change.register(fs)
	return a.completeCommand(&ffcli.Command{
		Name:       string(state),
		ShortUsage: "samphirectl " + name + " " + string(state) + " NAME [flags]",
		ShortHelp:  "declares the " + name + " " + string(state),
		LongHelp:   "EXAMPLES\n  samphirectl " + name + " " + string(state) + " NAME --wait",
		FlagSet:    fs,
	}, func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageErrorf("%s %s: want one name", name, state)
		}
		return a.setState(ctx, change, resource.Ref{Kind: kind, Name: args[0]}, state)
	})
}

// setState reads an object and writes it back with another state. The write is
// conditional on the version read.
func (a *app) setState(ctx context.Context, change changeFlags, ref resource.Ref, state resource.State) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	var o resource.Object
	if err := c.get(ctx, objectPath(ref), &o); err != nil {
		return err
	}
	switch spec := o.Spec.(type) {
	case *resource.FailureDomainSpec:
		spec.State = state
	case *resource.UpstreamSpec:
		spec.State = state
	}
	header := http.Header{"If-Match": {platform.FormatVersion(o.Version)}}
	o.Version, o.Status = 0, nil
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return a.change(ctx, change, request{method: http.MethodPut, path: objectPath(ref), header: header, body: body})
}
