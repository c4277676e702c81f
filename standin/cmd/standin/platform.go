package main

import (
	"context"
	"io"
	"net/http"

	"github.com/mangogate/mangogate/standin/platform"
	"github.com/urfave/cli/v3"
)

func platformCommand(out io.Writer) *cli.Command {
	var cfg platform.Config
	return &cli.Command{
		Name:  "platform",
		Usage: "run the log service and the VM list",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "retain-records", Destination: &cfg.RetainRecords, Usage: "records kept per stream; 0 keeps all"},
			&cli.DurationFlag{Name: "retain-age", Destination: &cfg.RetainAge, Usage: "age after which records are dropped; 0 keeps all"},
			&cli.DurationFlag{Name: "vm-lag", Destination: &cfg.VMLag, Usage: "time until readers see a change of the VM list"},
			&cli.IntFlag{Name: "appends-per-second", Destination: &cfg.AppendsPerSecond, Usage: "limit of appends; 0 means none"},
			&cli.Int64Flag{Name: "max-record-bytes", Destination: &cfg.MaxRecordBytes, Value: platform.DefaultMaxRecordBytes},
			&cli.Int64Flag{Name: "seed", Destination: &cfg.Seed, Usage: "seed of the injected faults"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := platform.New(cfg)
			return serve(ctx, out, c.String("listen"), &http.Server{Handler: s}, s.Close)
		},
	}
}
