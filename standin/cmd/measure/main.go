// Command measure runs the deployments of the design page with stand-ins and
// prints a table of figures beside baselines.
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
			&cli.IntSliceFlag{Name: "only", Usage: "section 1 to 6; may be repeated"},
			&cli.StringSliceFlag{Name: "deployment", Usage: "society or flagworks; may be repeated"},
			&cli.BoolFlag{Name: "quick", Usage: "halve the runs"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "of arrivals, keys and service times"},
			&cli.StringFlag{Name: "out", Value: "out/measures.json", Usage: "file for the figures"},
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
	// What was measured before an error is still printed.
	if printErr := report.Print(os.Stdout); printErr != nil {
		return printErr
	}
	if writeErr := report.Write(c.String("out")); writeErr != nil {
		return writeErr
	}
	return err
}
