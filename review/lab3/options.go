package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { scenarios["options"] = optionsScenario }

// rawAsk sends a request as it stands and reads one answer.
func rawAsk(e *edge, text string) (*http.Response, error) {
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // a TCP connection has deadlines
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// optionsScenario: a client that nobody controls asks each machine for a path without a
// route. A success has to bear the signature of a server.
func optionsScenario(l *lab) (int, error) {
	if err := l.deploy(smallZones(8)); err != nil {
		return couldNot, err
	}
	targets := []string{"GET /nowhere/x", "OPTIONS /nowhere/x", "OPTIONS /lookup/x"}
	if l.trouble {
		targets = append(targets, "OPTIONS *")
	}
	code := held
	for i, e := range l.edges {
		for j, target := range targets {
			id := fmt.Sprintf("p%d-%d", i, j)
			response, err := rawAsk(e, fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", target, hostName, id))
			if err != nil {
				return couldNot, err
			}
			stamp := response.Header.Get("Server-Stamp")
			l.note("%s: %s, request %s: %d, Server-Stamp %q, Request-Id %q, runs at servers: %d",
				e.name, target, id, response.StatusCode, stamp, response.Header.Get("Request-Id"), len(l.allRuns()[id]))
			if response.StatusCode/100 == 2 && stamp == "" {
				l.note("a success without a server's signature, of a request that no server got")
				code = broken
			}
		}
	}
	return code, nil
}
