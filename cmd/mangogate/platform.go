package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/node/eventlog"
	"github.com/mangogate/mangogate/node/router"
	"github.com/mangogate/mangogate/platform"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
)

// settingsPoll is the pause between two looks at the settings file, which may
// change without a signal.
const settingsPoll = time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one VM on the users' platform until SIGTERM; SIGHUP reads the settings again",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` in the platform's format", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` that serves counters and histograms as text; 0 serves none"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return servePlatform(ctx, c.String("settings"), c.Int("metrics-port"))
		},
	}
}

func servePlatform(ctx context.Context, path string, metricsPort int) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return cli.Exit(err.Error(), usage.ExitCode)
	}
	debug.SetMemoryLimit(s.MemoryLimit())
	registry := metrics.NewRegistry()
	logger, flush := eventlog.New(s.NodeName, os.Stdout, registry)
	defer flush()
	own := s.Router()
	if metricsPort > 0 {
		own.Metrics = net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
	}
	r, err := router.New(own, platform.NewAdapter(s), logger, registry)
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
	reload(ctx, path, s, r, logger)
	stop() // a second signal ends the process at once
	logger.Info("stopping")
	if err := r.Stop(context.Background()); err != nil {
		logger.Warn("stopped with an error", "error", err)
		return nil
	}
	logger.Info("stopped")
	return nil
}

// reload applies changes of the settings file until ctx ends.
func reload(ctx context.Context, path string, current *platform.Settings, r *router.Router, logger hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := modified(path)
	for {
		why := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			now := modified(path)
			if now.Equal(seen) {
				continue
			}
			seen, why = now, "file changed"
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			logger.Error("settings were not reloaded; the earlier ones stay in force", "why", why, "error", err)
			continue
		}
		changed := !reflect.DeepEqual(next, current)
		r.Apply(next.Router())
		debug.SetMemoryLimit(next.MemoryLimit())
		current = next
		logger.Info("settings reloaded", "why", why, "changed", changed)
	}
}

// modified returns the time of the file's last change, zero if it cannot be
// read: the next look may find it again.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
