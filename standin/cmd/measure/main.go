// Command measure runs the deployments of the design page with stand-ins, prints a
// table that compares the router with baselines, and writes the figures as JSON.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/mangogate/mangogate/standin/measure"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure both deployments with stand-ins on this machine",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "only", Usage: "section to measure, 1 to 6; may be repeated; all by default"},
			&cli.StringSliceFlag{Name: "deployment", Usage: "deployment to measure, society or flagworks; may be repeated; both by default"},
			&cli.BoolFlag{Name: "quick", Usage: "halve the duration of most loads"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals, keys and service times"},
			&cli.StringFlag{Name: "out", Value: "out/measures.json", Usage: "JSON file to which the figures are written"},
		},
		Action: action,
	}
}

func action(ctx context.Context, c *cli.Command) error {
	fmt.Println("seed", c.Int64("seed"))
	report, err := measure.Run(ctx, measure.Options{
		Only: c.IntSlice("only"), Deployments: c.StringSlice("deployment"), Quick: c.Bool("quick"), Seed: c.Int64("seed"),
		Out: os.Stdout, Command: os.Args,
	})
	if report == nil {
		return err
	}
	// After an error, the figures measured before it are printed and written.
	if printErr := report.Print(os.Stdout); printErr != nil {
		return printErr
	}
	if writeErr := report.Write(c.String("out")); writeErr != nil {
		return writeErr
	}
	return err
}
