package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func targetCommand(out io.Writer) *cli.Command {
	var cfg target.Config
	return &cli.Command{
		Name:  "target",
		Usage: "run a server that keeps state per key",
		Flags: append(targetFlags(&cfg), listenFlag(),
			&cli.StringFlag{Name: "ownership", Value: string(inventory.OwnershipKey), Usage: "key or pool"},
			&cli.StringFlag{Name: "distribution", Value: string(target.Fixed), Usage: "distribution of service times: fixed or exponential"},
			&cli.StringFlag{Name: "ledger-file", Usage: "file that each execution is appended to, as a line of JSON"},
			&cli.BoolFlag{Name: "exit-on-fall-over", Usage: "exit with code 4 instead of refusing all requests"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg.Ownership = inventory.Ownership(c.String("ownership"))
			cfg.Distribution = target.Distribution(c.String("distribution"))
			return runTarget(ctx, c, out, cfg)
		},
	}
}

func targetFlags(cfg *target.Config) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Destination: &cfg.Name, Required: true},
		&cli.StringFlag{Name: "service", Destination: &cfg.Service},
		&cli.BoolFlag{Name: "checks-fences", Destination: &cfg.ChecksFences},
		&cli.StringFlag{Name: "key-header", Destination: &cfg.KeyHeader, Value: target.DefaultKeyHeader},
		&cli.StringFlag{Name: "key-template", Destination: &cfg.KeyTemplate, Usage: "URL path with one {key} element"},
		&cli.IntFlag{Name: "slots", Destination: &cfg.Slots, Value: target.DefaultSlots},
		&cli.IntFlag{Name: "max-in-flight", Destination: &cfg.MaxInFlight, Value: target.DefaultMaxInFlight, Usage: "requests in flight above which further ones are shed"},
		&cli.IntFlag{Name: "max-connections", Destination: &cfg.MaxConnections, Value: target.DefaultMaxConnections},
		&cli.DurationFlag{Name: "service-time", Destination: &cfg.ServiceTime, Usage: "mean"},
		&cli.Int64Flag{Name: "seed", Destination: &cfg.Seed, Usage: "seed of service times and injected faults"},
		&cli.IntFlag{Name: "cold-completions", Destination: &cfg.ColdCompletions, Usage: "requests that the target executes before it is warm"},
		&cli.FloatFlag{Name: "cold-factor", Destination: &cfg.ColdFactor, Value: 1, Usage: "multiplies the service time while cold"},
		&cli.IntFlag{Name: "cold-max-in-flight", Destination: &cfg.ColdMaxInFlight, Usage: "requests in flight above which a cold target falls over; 0 means never"},
		&cli.DurationFlag{Name: "load-lag", Destination: &cfg.LoadLag, Usage: "age of the load in load reports"},
		&cli.IntFlag{Name: "max-executions", Destination: &cfg.MaxExecutions, Value: target.DefaultMaxExecutions, Usage: "number of executions that the ledger lists"},
		&cli.StringFlag{Name: "crash-header", Destination: &cfg.CrashHeader, Value: target.DefaultCrashHeader},
	}
}

func runTarget(ctx context.Context, c *cli.Command, out io.Writer, cfg target.Config) error {
	if cfg.Ownership != inventory.OwnershipKey && cfg.Ownership != inventory.OwnershipPool {
		return errors.Errorf("ownership %q is not key or pool", cfg.Ownership)
	}
	if cfg.Distribution != target.Fixed && cfg.Distribution != target.Exponential {
		return errors.Errorf("distribution %q is not fixed or exponential", cfg.Distribution)
	}
	cfg.OnCrash = func() { os.Exit(exitCrashed) }
	if c.Bool("exit-on-fall-over") {
		cfg.OnFallOver = func() { os.Exit(exitFellOver) }
	}
	if path := c.String("ledger-file"); path != "" {
		// Appending keeps the executions before a restart or crash.
		file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "open the ledger file")
		}
		defer file.Close()
		encoder := json.NewEncoder(file)
		cfg.OnExecution = func(e target.Execution) {
			if err := encoder.Encode(e); err != nil {
				panic(err) // a ledger that lacks executions would hide faults from tests
			}
		}
	}
	s := target.New(cfg)
	server := &http.Server{Handler: s, ConnState: s.ConnState}
	startDraining := func() { s.SetFaults(target.Faults{Draining: true}) }
	return serve(ctx, out, c.String("listen"), server, startDraining)
}
