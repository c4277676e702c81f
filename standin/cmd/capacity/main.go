// Command capacity measures the figures of docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/mangogate/mangogate/standin/capacity"
	"github.com/urfave/cli/v3"
)

// allParts are run when none is named.
var allParts = []string{"core", "log", "idle-vms", "idle-shards", "idle-targets", "load"}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var parts []string
	var path string
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure what control costs, and fit slopes",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "part", Destination: &parts, Value: allParts, Usage: strings.Join(allParts, ", ") + "; may be repeated"},
			&cli.StringFlag{Name: "out", Destination: &path, Value: "out/capacity.json"},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			for _, part := range parts {
				if err := run(ctx, part, path); err != nil {
					return fmt.Errorf("part %s: %w", part, err)
				}
			}
			return nil
		},
	}
}

func run(ctx context.Context, part, path string) error {
	var r capacity.Report
	began := time.Now()
	measure := map[string]func() error{
		"core":         r.Core,
		"log":          func() error { return r.Log(ctx) },
		"idle-vms":     func() error { return r.IdleByVMs(ctx) },
		"idle-shards":  func() error { return r.IdleByShards(ctx) },
		"load":         func() error { return r.Load(ctx) },
		"idle-targets": func() error { return r.IdleByTargets(ctx) },
	}[part]
	if measure == nil {
		return fmt.Errorf("no such part")
	}
	err := measure()
	fmt.Printf("# %s: %.1f s\n", part, time.Since(began).Seconds())
	r.Print(os.Stdout)
	if err != nil {
		return err
	}
	return r.Merge(path)
}
