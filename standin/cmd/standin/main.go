// Command standin runs the stand-ins for the surroundings of mangogate, each as
// a process of its own: the platform, a target, and callers.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// Exit codes of a target besides 0 and 1.
const (
	exitCrashed  = 3
	exitFellOver = 4
)

// stopGrace is how long requests in flight may take after SIGTERM.
const stopGrace = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command(os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for the surroundings of mangogate",
		Writer:   out,
		Commands: []*cli.Command{platformCommand(out), targetCommand(out), loadCommand(out)},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port"}
}

// serve prints the address, and serves until ctx ends. onStop runs before the
// server waits for requests in flight.
func serve(ctx context.Context, out io.Writer, address string, server *http.Server, onStop func()) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if _, err := fmt.Fprintln(out, "listening on", listener.Addr()); err != nil {
		return errors.Wrap(err, "print the address")
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		onStop()
		grace, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		if server.Shutdown(grace) != nil {
			return errors.Wrap(server.Close(), "close connections")
		}
		return nil
	})
	return group.Wait()
}
