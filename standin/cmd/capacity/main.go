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

// allParts lists the parts in the order in which they run if --part is not given.
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
		Usage: "measure the cost of the control plane and fit a line to each series",
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

// run measures one part, prints its series and merges them into the file at path.
// After an error it prints the series so far and leaves the file unchanged.
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
		return fmt.Errorf("unknown part")
	}
	err := measure()
	fmt.Printf("# %s: %.1f s\n", part, time.Since(began).Seconds())
	r.Print(os.Stdout)
	if err != nil {
		return err
	}
	return r.Merge(path)
}
