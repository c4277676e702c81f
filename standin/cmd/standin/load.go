package main

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func loadCommand(out io.Writer) *cli.Command {
	var cfg loadgen.Config
	return &cli.Command{
		Name:  "load",
		Usage: "run callers and print a report as JSON; SIGTERM ends the run early",
		Flags: append(loadFlags(&cfg), keyFlags(&cfg)...),
		Action: func(ctx context.Context, _ *cli.Command) error {
			report, err := loadgen.Run(ctx, cfg)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(out)
			encoder.SetIndent("", "  ")
			return errors.Wrap(encoder.Encode(report), "print the report")
		},
	}
}

func loadFlags(cfg *loadgen.Config) []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Destination: &cfg.Entries, Usage: "address that callers send to; may be repeated"},
		&cli.DurationFlag{Name: "duration", Destination: &cfg.Duration, Value: 10 * time.Second},
		&cli.FloatFlag{Name: "rate", Destination: &cfg.Rate, Usage: "requests per second, Poisson arrivals; 0 runs --callers instead"},
		&cli.IntFlag{Name: "callers", Destination: &cfg.Callers, Usage: "number of callers that each wait for the response before the next request"},
		&cli.DurationFlag{Name: "pause", Destination: &cfg.Pause, Usage: "time that a caller waits between requests"},
		&cli.IntFlag{Name: "outstanding", Destination: &cfg.Outstanding, Value: loadgen.DefaultOutstanding, Usage: "requests in flight above which arrivals are skipped"},
		&cli.FloatFlag{Name: "read-ratio", Destination: &cfg.ReadRatio, Value: 0.8},
		&cli.IntFlag{Name: "body-bytes", Destination: &cfg.BodyBytes, Usage: "minimum size of the body of writes"},
		&cli.IntFlag{Name: "answer-bytes", Destination: &cfg.AnswerBytes, Usage: "size of the padding in responses"},
		&cli.DurationFlag{Name: "deadline", Destination: &cfg.Deadline, Value: loadgen.DefaultDeadline},
		&cli.DurationFlag{Name: "grace", Destination: &cfg.Grace, Value: loadgen.DefaultGrace, Usage: "time after the deadline until a caller gives up"},
		&cli.IntFlag{Name: "repeats", Destination: &cfg.Repeats, Usage: "maximum retries of a write whose outcome is unknown"},
		&cli.BoolFlag{Name: "repeat-reads", Destination: &cfg.RepeatReads},
		&cli.DurationFlag{Name: "repeat-pause", Destination: &cfg.RepeatPause, Value: loadgen.DefaultRepeatPause},
		&cli.FloatFlag{Name: "hang-up-rate", Destination: &cfg.HangUpRate, Usage: "share of requests whose caller hangs up early"},
		&cli.DurationFlag{Name: "hang-up-after", Destination: &cfg.HangUpAfter, Usage: "maximum time until a caller hangs up"},
		&cli.Int64Flag{Name: "seed", Destination: &cfg.Seed},
		&cli.StringFlag{Name: "run-id", Destination: &cfg.RunID, Usage: "prefix of the idempotency keys; random by default"},
	}
}

func keyFlags(cfg *loadgen.Config) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "read-path", Destination: &cfg.ReadPath, Required: true, Usage: "with {key}, unless --key-header is set"},
		&cli.StringFlag{Name: "write-path", Destination: &cfg.WritePath, Required: true, Usage: "with {key}, unless --key-header is set"},
		&cli.StringFlag{Name: "key-header", Destination: &cfg.KeyHeader},
		&cli.IntFlag{Name: "keys", Destination: &cfg.Keys, Value: 1000},
		&cli.StringFlag{Name: "key-prefix", Destination: &cfg.KeyPrefix, Value: loadgen.DefaultKeyPrefix},
		&cli.FloatFlag{Name: "zipf", Destination: &cfg.Zipf, Usage: "exponent of the key distribution, above 1; 0 means uniform"},
		&cli.IntFlag{Name: "hot-keys", Destination: &cfg.HotKeys, Value: 10},
		&cli.FloatFlag{Name: "hot-share", Destination: &cfg.HotShare, Usage: "share of the requests that go to hot keys"},
		&cli.DurationFlag{Name: "hot-interval", Destination: &cfg.HotInterval, Usage: "time after which other keys become hot; 0 means never"},
	}
}
