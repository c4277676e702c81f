// Package exporter serves the metrics of a process over HTTP as text, one line
// per value.
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

const readHeaderTimeout = 3 * time.Second

// quantiles are served for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Exporter is the module that serves the metrics of a registry.
type Exporter struct {
	address  string
	registry metrics.Registry
	logger   hclog.Logger
	server   *http.Server
}

// New returns an exporter that listens on an address. With an empty address it
// is disabled.
func New(address string, registry metrics.Registry, logger hclog.Logger) *Exporter {
	return &Exporter{address: address, registry: registry, logger: logger}
}

// Name implements kernel.Module.
func (e *Exporter) Name() string { return Name }

// Start implements kernel.Starter. It fails if the exporter cannot listen.
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
		_, _ = io.WriteString(w, Text(e.registry)) // fails only if the client has disconnected
	}
	e.server = &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("listener for metrics failed", "error", err)
		}
	}()
	return nil
}

// Stop implements kernel.Stopper. It cuts off requests in flight.
func (e *Exporter) Stop(context.Context) error {
	if e.server == nil {
		return nil
	}
	return e.server.Close()
}

// Text returns the counters, gauges and histograms of a registry, one line per
// value, ordered by name. Other kinds of metrics are omitted.
func Text(registry metrics.Registry) string {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
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

// histogram returns the count, mean, maximum and quantiles of a histogram.
func histogram(name string, h metrics.Histogram) []string {
	out := []string{
		fmt.Sprintf("%s.count %d", name, h.Count()), fmt.Sprintf("%s.mean %.1f", name, h.Mean()), fmt.Sprintf("%s.max %d", name, h.Max()),
	}
	for i, v := range h.Percentiles(quantiles) {
		out = append(out, fmt.Sprintf("%s.p%g %.1f", name, 100*quantiles[i], v))
	}
	return out
}
