package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/node/settings"
	"github.com/mangogate/mangogate/node/vm"
	"github.com/urfave/cli/v3"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one VM until SIGTERM, then stop without cutting off a request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings of this VM, JSON with comments", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c.String("settings")) },
	}
}

// serve runs one VM until SIGTERM or SIGINT and then shuts it down gracefully.
func serve(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return cli.Exit(err.Error(), usage.ExitCode)
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: s.VM, Level: hclog.LevelFromString(s.LogLevel), Output: os.Stderr})
	node, err := vm.New(s, logger)
	if err != nil {
		return cli.Exit(err.Error(), usage.ExitCode)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := node.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("callers on %s, operators on %s\n", node.CallerAddr(), node.OperatorAddr())
	<-ctx.Done()
	stop() // a second signal kills the process at once
	logger.Info("stopping")
	if err := node.Stop(context.Background()); err != nil {
		return err
	}
	logger.Info("stopped")
	return nil
}
