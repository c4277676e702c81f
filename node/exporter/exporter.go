// Package exporter serves the counters and histograms of a process as text,
// one line a figure.
package exporter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Exporter.
const Name = "metrics.exporter"

const headerTimeout = 3 * time.Second

// quantiles are the parts of a histogram that are served.
var quantiles = []float64{0.5, 0.9, 0.99}

// Exporter is the module.
type Exporter struct {
	address  string
	registry metrics.Registry
	logger   hclog.Logger
	server   *http.Server
}

// New returns an exporter for an address. It serves nothing if that is empty.
func New(address string, registry metrics.Registry, logger hclog.Logger) *Exporter {
	return &Exporter{address: address, registry: registry, logger: logger}
}

// Name implements kernel.Module.
func (e *Exporter) Name() string { return Name }

// Start implements kernel.Starter.
func (e *Exporter) Start(context.Context) error {
	if e.address == "" {
		return nil
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	handler := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, Text(e.registry)) // the reader has left
	}
	e.server = &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("metrics are not served any more", "error", err)
		}
	}()
	return nil
}

// Stop implements kernel.Stopper.
func (e *Exporter) Stop(context.Context) error {
	if e.server == nil {
		return nil
	}
	return e.server.Close()
}

// Text returns all figures of a registry, ordered by name.
func Text(registry metrics.Registry) string {
	var lines []string
	registry.Each(func(name string, i any) {
		switch m := i.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			lines = append(lines, histogram(name, m.Snapshot())...)
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func histogram(name string, h metrics.Histogram) []string {
	out := []string{
		fmt.Sprintf("%s.count %d", name, h.Count()), fmt.Sprintf("%s.mean %.1f", name, h.Mean()), fmt.Sprintf("%s.max %d", name, h.Max()),
	}
	for i, v := range h.Percentiles(quantiles) {
		out = append(out, fmt.Sprintf("%s.p%g %.1f", name, 100*quantiles[i], v))
	}
	return out
}
