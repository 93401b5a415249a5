package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/api/caller"
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// client opens a new connection for each request, so that no request fails on a
// reused connection to a host that has stopped or crashed.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   30 * time.Second,
}

// sendJSON sends a request and, unless into is nil, decodes the JSON answer. A
// status other than 2xx is an error.
func sendJSON(method, url string, body []byte, into any) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	if response.StatusCode/100 != 2 {
		return eris.Errorf("%s %s: %d %s", method, url, response.StatusCode, text)
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(text, into), "decode")
}

// Stats returns the statistics of each upstream.
func (f *Fleet) Stats(detailed bool) ([]upstreamstub.Stats, error) {
	url := f.Upstreams + "/stats"
	if detailed {
		url += "?detail"
	}
	var stats []upstreamstub.Stats
	return stats, sendJSON(http.MethodGet, url, nil, &stats)
}

// Control changes the behaviour of upstreams.
func (f *Fleet) Control(c upstreamstub.Control) error {
	body, err := json.Marshal(c)
	if err != nil {
		return eris.Wrap(err, "control")
	}
	return sendJSON(http.MethodPost, f.Upstreams+"/control", body, nil)
}

// Faults sets the faults of the platform.
func (f *Fleet) Faults(faults platformstub.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	return sendJSON(http.MethodPost, f.Platform+"/faults", body, nil)
}

// publishHosts replaces the platform's host list with the running hosts.
func (f *Fleet) publishHosts() error {
	var hosts []core.HostInfo
	for _, h := range f.Hosts {
		if !h.Ended() {
			hosts = append(hosts, core.HostInfo{Host: core.HostID(h.ID), Address: h.Peer, Domain: core.DomainID(h.Domain)})
		}
	}
	body, err := platform.EncodeHosts(hosts)
	if err != nil {
		return err
	}
	return sendJSON(http.MethodPut, f.Platform+platformstub.HostsPath, body, nil)
}

// Reply is what a caller received: an answer or a failure.
type Reply struct {
	Status  int
	Answer  caller.Answer
	Failure caller.Failure
	Took    time.Duration
}

// Query sends a query over Scope to the host.
func (h *Host) Query(id, question string, deadline time.Duration) (Reply, error) {
	return h.post("/v1/query", caller.Query{
		RequestID:  id,
		Scope:      Scope,
		Question:   question,
		DeadlineMs: deadline.Milliseconds(),
		Limit:      5,
	})
}

// Call sends a plain call to CallService that may run at most once.
func (h *Host) Call(id, payload string, deadline time.Duration) (Reply, error) {
	return h.post("/v1/call", caller.Call{
		RequestID:  id,
		Service:    CallService,
		Payload:    payload,
		DeadlineMs: deadline.Milliseconds(),
	})
}

// RepeatableCall sends a plain call to CallService that may run more than once.
func (h *Host) RepeatableCall(id, payload string, deadline time.Duration) (Reply, error) {
	return h.post("/v1/call", caller.Call{
		RequestID:  id,
		Service:    CallService,
		Payload:    payload,
		DeadlineMs: deadline.Milliseconds(),
		Repeatable: true,
	})
}

// Cold returns the upstreams that the host holds and treats as cold.
func (h *Host) Cold() ([]string, error) {
	var status struct{ Cold []struct{ Upstream string } }
	if err := sendJSON(http.MethodGet, "http://"+h.Operator+"/v1/status", nil, &status); err != nil {
		return nil, err
	}
	var cold []string
	for _, c := range status.Cold {
		cold = append(cold, c.Upstream)
	}
	return cold, nil
}

// Generation returns the configuration generation in force on the host.
func (h *Host) Generation() (uint64, error) {
	var status struct{ Generation uint64 }
	err := sendJSON(http.MethodGet, "http://"+h.Admin+"/status", nil, &status)
	return status.Generation, err
}

func (h *Host) post(path string, body any) (Reply, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Reply{}, eris.Wrap(err, "request")
	}
	started := time.Now()
	response, err := client.Post("http://"+h.Caller+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return Reply{}, eris.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	reply := Reply{Status: response.StatusCode}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply, eris.Wrap(err, "read")
	}
	reply.Took = time.Since(started)
	var into any = &reply.Failure
	if reply.Status == http.StatusOK {
		into = &reply.Answer
	}
	return reply, eris.Wrapf(json.Unmarshal(text, into), "%d %s", reply.Status, text)
}

// Ready reports whether the host is ready for queries.
func (h *Host) Ready() bool {
	return sendJSON(http.MethodGet, "http://"+h.Admin+"/readyz", nil, nil) == nil
}

// AwaitReady waits until all running hosts are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, h := range f.Hosts {
		for !h.Ended() && !h.Ready() {
			if time.Now().After(until) {
				return eris.Errorf("%s is not ready after %v", h.ID, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Apply applies the objects of the layout.
func (f *Fleet) Apply() error { return f.ApplyText(f.Declaration()) }

// Declaration returns the objects of the layout as YAML.
func (f *Fleet) Declaration() string {
	return f.cfg.Layout.Declaration(func(upstream string) string { return f.upstreams[upstream] })
}
