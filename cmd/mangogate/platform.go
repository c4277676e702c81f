package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/node/router"
	"github.com/mangogate/mangogate/platform"
	"github.com/urfave/cli/v3"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one VM on the users' platform until SIGTERM; settings come from the file that " + platform.SettingsVariable + " names",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` in the platform's format", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return servePlatform(ctx, c.String("settings")) },
	}
}

func servePlatform(ctx context.Context, path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return cli.Exit(err.Error(), usage.ExitCode)
	}
	debug.SetMemoryLimit(s.MemoryLimit())
	logger := hclog.New(&hclog.LoggerOptions{Name: s.NodeName, Level: hclog.Info, Output: os.Stdout, JSONFormat: true})
	r, err := router.New(s.Router(), platform.NewAdapter(s), logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger.Info("starting", "settings", path, "data_centre", s.Zone)
	if err := r.Start(ctx); err != nil {
		return err
	}
	logger.Info("started")
	<-ctx.Done()
	stop() // a second signal ends the process at once
	logger.Info("stopping")
	if err := r.Stop(context.Background()); err != nil {
		logger.Warn("stopped with an error", "error", err)
		return nil
	}
	logger.Info("stopped")
	return nil
}
