// Command standin runs stand-ins for the platform and for upstreams, for
// demonstrations, tests and measurements. It is not part of the product.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// config is the content of the YAML file. Both sections are optional.
type config struct {
	Platform  *platformConfig  `yaml:"platform"`
	Upstreams *upstreamsConfig `yaml:"upstreams"`
}

type platformConfig struct {
	// Address is "ip:port"; port 0 selects a free port.
	Address string `yaml:"address"`
}

type upstreamsConfig struct {
	// Control is the "ip:port" that serves POST /control and GET /stats.
	Control string              `yaml:"control"`
	Stub    upstreamstub.Config `yaml:",inline"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run() error {
	file := flag.String("config", "", "YAML file")
	flag.Parse()
	c, err := readConfig(*file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if c.Platform != nil {
		server, err := serve("platform", c.Platform.Address, platformstub.New())
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	if c.Upstreams != nil {
		stub, err := upstreamstub.New(c.Upstreams.Stub)
		if err != nil {
			return err
		}
		defer stub.Close()
		server, err := serve("control", c.Upstreams.Control, stub)
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	<-ctx.Done()
	return nil
}

func readConfig(file string) (config, error) {
	var c config
	opened, err := os.Open(file)
	if err != nil {
		return c, eris.Wrap(err, "settings")
	}
	defer func() { _ = opened.Close() }()
	decoder := yaml.NewDecoder(opened)
	decoder.KnownFields(true)
	return c, eris.Wrap(decoder.Decode(&c), file)
}

// serve serves HTTP on an address and prints "name=ip:port" once it listens.
func serve(name, address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	server := &http.Server{Handler: handler}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "standin:", name, err)
		}
	}()
	fmt.Printf("%s=%s\n", name, listener.Addr())
	return server, nil
}
