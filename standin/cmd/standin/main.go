// Command standin runs a stand-in for one part of mangogate's environment: the
// platform, a target, or the callers.
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
	exitCrashed  = 3 // simulated crash
	exitFellOver = 4 // more requests in flight than a cold target stands
)

// shutdownTimeout limits the wait for requests in flight after SIGTERM or SIGINT.
// Then their connections are closed.
const shutdownTimeout = 5 * time.Second

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
		Usage:    "run a stand-in for the platform, a target or the callers of mangogate",
		Writer:   out,
		Commands: []*cli.Command{platformCommand(out), targetCommand(out), loadCommand(out)},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port"}
}

// serve listens on address, prints the actual address and serves until ctx ends or
// serving fails. It then calls onStop and waits up to shutdownTimeout for requests
// in flight.
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
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			return errors.Wrap(server.Close(), "close connections")
		}
		return nil
	})
	return group.Wait()
}
