package ctl

import (
	"context"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/api/operator"
)

func (a *app) statusCommand() *ffcli.Command {
	return a.completeCommand(&ffcli.Command{
		Name:       "status",
		ShortUsage: "samphirectl status [flags]",
		ShortHelp:  "shows hosts, the configuration in force on each, shares, cold upstreams and quarantine",
		LongHelp:   "EXAMPLES\n  samphirectl status\n  samphirectl status -o json",
		FlagSet:    a.commonFlags("status"),
	}, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usageErrorf("status: want no arguments")
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		var status operator.Status
		if err := c.get(ctx, "/v1/status", &status); err != nil {
			return err
		}
		if a.output != formatTable {
			return writeValue(a.io.Out, a.output, status)
		}
		return a.printStatus(status)
	})
}

func (a *app) printStatus(s operator.Status) error {
	a.printf("newest generation in force: %d\n\n", s.Generation)
	hosts := newTable(a.io.Out, "HOST", "DOMAIN", "STATE", "GENERATION", "LAGS")
	for _, h := range s.Hosts {
		lags := "no"
		if h.Lags {
			lags = "yes"
		}
		hosts.row(h.Host, h.Domain, h.State, strconv.FormatUint(h.Generation, 10), lags)
	}
	if err := hosts.flush(); err != nil {
		return err
	}
	return a.printUpstreams(s)
}

func (a *app) printUpstreams(s operator.Status) error {
	var tables []*table
	if len(s.Shares) > 0 {
		a.printf("\n")
		t := newTable(a.io.Out, "UPSTREAM", "OWNER", "EPOCH")
		for _, share := range s.Shares {
			t.row(share.Upstream, share.Owner, strconv.FormatUint(share.Epoch, 10))
		}
		tables = append(tables, t)
	}
	for _, t := range tables {
		if err := t.flush(); err != nil {
			return err
		}
	}
	for _, cold := range s.Cold {
		a.printf("cold: %s, limit %d\n", cold.Upstream, cold.Limit)
	}
	for _, q := range s.Quarantine {
		left := time.Duration(q.LeftMs) * time.Millisecond
		a.printf("quarantined: question %s, for %v\n", q.Fingerprint, left)
	}
	return nil
}
