package main

import (
	"context"
	"fmt"
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
	"github.com/mangogate/mangogate/core/locality"
	"github.com/mangogate/mangogate/node/eventlog"
	"github.com/mangogate/mangogate/node/router"
	"github.com/mangogate/mangogate/platform"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
)

// settingsPoll is the interval of the checks for changes of the settings file, which
// may come without a SIGHUP.
const settingsPoll = time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one VM on the users' platform until SIGTERM; SIGHUP reads the settings again",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` in the platform's format", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` that serves counters and histograms as text; 0 serves none"},
			&cli.FloatFlag{Name: spilloverFlag, Usage: "decide from measured load which requests leave their data centre; an answer may take `MS` milliseconds longer " +
				"to save one megabyte of traffic between data centres. Without the flag other data centres cost a constant penalty"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			spillover, err := spilloverConfig(c)
			if err != nil {
				return err
			}
			return servePlatform(ctx, c.String("settings"), c.Int("metrics-port"), spillover)
		},
	}
}

const spilloverFlag = "spillover-price"

// spilloverConfig returns the value of the flag spilloverFlag, or nil if it is not given.
func spilloverConfig(c *cli.Command) (*locality.Config, error) {
	if !c.IsSet(spilloverFlag) {
		return nil, nil
	}
	price := c.Float(spilloverFlag)
	if !(price >= 0 && price <= maxSpilloverPrice) {
		return nil, cli.Exit(fmt.Sprintf("--%s: %v is not a number from 0 to %v", spilloverFlag, price, maxSpilloverPrice), usage.ExitCode)
	}
	return &locality.Config{PricePerMB: time.Duration(price * float64(time.Millisecond))}, nil
}

// maxSpilloverPrice, in milliseconds per megabyte, is a minute: no caller waits that long.
const maxSpilloverPrice = 60_000.0

// servePlatform runs one VM until SIGTERM or SIGINT and then shuts it down
// gracefully; a failed shutdown is only logged. A positive metricsPort exposes the
// metrics on the IP of the VM. SIGHUP and a repeated SIGTERM never end the process:
// either may come while it starts or stops. A second SIGINT kills it.
func servePlatform(ctx context.Context, path string, metricsPort int, spillover *locality.Config) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := platform.LoadSettings(path)
	if err != nil {
		return cli.Exit(err.Error(), usage.ExitCode)
	}
	debug.SetMemoryLimit(s.MemoryLimit())
	registry := metrics.NewRegistry()
	logger, flush := eventlog.New(s.NodeName, os.Stdout, registry)
	defer flush()
	routerSettings := s.Router()
	routerSettings.Spillover = spillover
	if metricsPort > 0 {
		routerSettings.Metrics = net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
	}
	r, err := router.New(routerSettings, platform.NewAdapter(s), logger, registry)
	if err != nil {
		return err
	}
	logger.Info("starting", "settings", path, "data_centre", s.Zone)
	if err := r.Start(ctx); err != nil {
		return err
	}
	logger.Info("started")
	watchSettings(ctx, reload, path, s, r, logger)
	signal.Reset(syscall.SIGINT)
	logger.Info("stopping")
	if err := r.Stop(context.Background()); err != nil {
		logger.Warn("shutdown failed", "error", err)
		return nil
	}
	logger.Info("stopped")
	return nil
}

// watchSettings applies the settings file on each signal from reload and whenever its
// modification time changes, until ctx ends. An invalid or missing file is logged and
// leaves the settings unchanged.
func watchSettings(ctx context.Context, reload <-chan os.Signal, path string, current *platform.Settings, r *router.Router, logger hclog.Logger) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		trigger := "signal"
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			latest := modificationTime(path)
			if latest.Equal(lastModified) {
				continue
			}
			lastModified, trigger = latest, "file changed"
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			logger.Error("reloading the settings failed; the previous settings stay in force", "why", trigger, "error", err)
			continue
		}
		changed := !reflect.DeepEqual(next, current)
		r.Apply(next.Router())
		debug.SetMemoryLimit(next.MemoryLimit())
		current = next
		logger.Info("settings reloaded", "why", trigger, "changed", changed)
	}
}

// modificationTime returns the zero time if the file cannot be examined, so that its
// reappearance counts as a change.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
