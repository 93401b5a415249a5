package ctl

import "github.com/peterbourgon/ff/v3/ffcli"

const rootHelp = `Declares what the query tier searches and which failure domains and upstreams
may take work, and shows what it does.

Each flag can be set by an environment variable, such as SAMPHIRECTL_HOST.

EXAMPLES
  samphirectl apply -f services.yaml --wait
  samphirectl get Upstream
  samphirectl domain out kigali-2 --wait
  samphirectl status
  samphirectl query full-register "plate 1140" --deadline 340ms

EXIT CODES
  0  done
  1  wrong command line or file; nothing was sent
  2  refused, nothing changed or run
  3  refused: another operator changed the object
  4  some objects accepted, some refused
  5  no host answered, or the platform is away; surely not accepted
  6  outcome unknown: send it again with the same --operation
  7  accepted, but not in force everywhere within --wait-timeout
  8  the query ran and failed
  9  the answer misses the reach that its scope declares`

func (a *app) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "samphirectl",
		ShortUsage: "samphirectl <command> [flags] [arguments]",
		ShortHelp:  "operates the query tier",
		LongHelp:   rootHelp,
		FlagSet:    a.newFlagSet("samphirectl"),
		Subcommands: []*ffcli.Command{
			a.applyCommand(),
			a.getCommand(),
			a.describeCommand(),
			a.deleteCommand(),
			a.stateCommand("domain", "FailureDomain"),
			a.stateCommand("upstream", "Upstream"),
			a.statusCommand(),
			a.auditCommand(),
			a.queryCommand(),
		},
	}
}
