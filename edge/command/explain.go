package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edge"
)

// inputError is an error in what the user entered.
type inputError struct{ cause error }

func (e inputError) Error() string { return "explain: " + e.cause.Error() }

// explainTimeout bounds the question to the host.
const explainTimeout = 5 * time.Second

// maxShownServices is how many services are printed without -json.
const maxShownServices = 5

func explainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("samphirebeam-edge explain", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7390", "metrics address of the host to ask")
	keyFile := fs.String("key-file", "", "file with the caller's key; - reads it from standard input")
	asJSON := fs.Bool("json", false, "print JSON")
	var asked edge.ExplainRequest
	fs.StringVar(&asked.Method, "method", http.MethodGet, "method of the request")
	fs.StringVar(&asked.Host, "host", "", "host name of the request")
	fs.StringVar(&asked.Path, "path", "", "path and query of the request")
	fs.BoolVar(&asked.HasBody, "body", false, "the request has a body")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "samphirebeam-edge explain -address HOST:PORT -host NAME -path /PATH [flags]",
		ShortHelp:  "say where a request would go now and why, without sending it",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return inputError{fmt.Errorf("unexpected argument %q", args[0])}
			}
			var err error
			if asked.Key, err = readKey(*keyFile); err != nil {
				return inputError{err}
			}
			if err := asked.Check(); err != nil {
				return inputError{err}
			}
			if _, _, err := net.SplitHostPort(*address); err != nil {
				return inputError{err}
			}
			return explain(ctx, *address, asked, *asJSON, os.Stdout)
		},
	}
}

// readKey reads a key from a file; an empty name is no key.
func readKey(name string) (string, error) {
	var data []byte
	var err error
	switch name {
	case "":
		return "", nil
	case "-":
		data, err = io.ReadAll(os.Stdin)
	default:
		data, err = os.ReadFile(name)
	}
	return strings.TrimSpace(string(data)), err
}

// explain asks a host and prints its answer.
func explain(ctx context.Context, address string, asked edge.ExplainRequest, asJSON bool, out io.Writer) error {
	body, err := json.Marshal(asked)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/explain", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusBadRequest:
		return inputError{fmt.Errorf("%s", bytes.TrimSpace(data))}
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("explain: the host answers %s", response.Status)
	case asJSON:
		_, err = out.Write(data)
		return err
	}
	var x scatter.Explanation
	if err := json.Unmarshal(data, &x); err != nil {
		return err
	}
	return printExplanation(out, x)
}

// printExplanation prints an explanation as text. Of a gather it shows the services with the
// longest queues.
func printExplanation(out io.Writer, x scatter.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) } // Flush returns the error
	decision := x.Decision
	if x.Reason != "" {
		decision += ": " + x.Reason
	}
	line("%s\t", decision)
	line("host\t%s (%s), configuration %d", x.Host, x.Role, x.Version)
	if x.Route != "" {
		line("route\t%s", x.Route)
	}
	if x.Team != "" {
		line("team\t%s", x.Team)
	}
	if x.Quota != nil {
		line("quota\t%g requests per second, burst %g", x.Quota.Rate, x.Quota.Burst)
	}
	for _, h := range x.Hosts {
		line("hand over to\t%s in %s\tcost %.2f\t%d running\t%s", h.ID, h.Domain, h.Cost, h.Running, h.Unusable)
	}
	if len(x.Services) > 0 {
		line("services\t%d, expected wait %.1f ms", len(x.Services), x.ExpectedWaitMs)
	}
	for i, s := range busiestFirst(x.Services) {
		if i == maxShownServices {
			line("...\t%d more with -json", len(x.Services)-i)
			break
		}
		for _, u := range s.Upstreams {
			line("%s\t%s in %s\tcost %.2f\tslowness %.2f, %.0f ms old\t%d of %d running, %d queued here\t%s%s",
				s.Service, u.ID, u.Domain, u.Cost, u.Slowness, u.ObservedMs, u.Running, u.MaxRunning, s.Queued, relayed(u), u.Unusable)
		}
	}
	return w.Flush()
}

func relayed(u scatter.UpstreamChoice) string {
	if u.Relay == "" {
		return ""
	}
	return "through " + string(u.Relay) + " "
}

// busiestFirst returns the services in order of their queues, the longest first.
func busiestFirst(services []scatter.ServiceChoice) []scatter.ServiceChoice {
	sorted := slices.Clone(services)
	slices.SortStableFunc(sorted, func(a, b scatter.ServiceChoice) int { return b.Queued - a.Queued })
	return sorted
}
