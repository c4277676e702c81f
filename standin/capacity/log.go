package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mangogate/mangogate/node/logclient"
	"github.com/mangogate/mangogate/standin/platform"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

const (
	stream       = "control"
	pollInterval = 500 * time.Millisecond
	heldOpen     = 2 * time.Second // as node/replica does
	logRun       = 4 * time.Second
	logPause     = 300 * time.Millisecond // mean time between two records
	recordBytes  = 200
)

// logRecord is what the writer appends.
type logRecord struct {
	At   time.Time `json:"at"`
	Seq  int       `json:"seq"`
	Text string    `json:"text"`
}

// logResult is what the readers of one run saw.
type logResult struct {
	mu       sync.Mutex
	delays   []float64 // ms
	records  int
	missed   int // records that a reader was never shown
	registry metrics.Registry
	seconds  float64
	appended int
}

func (l *logResult) seen(e logclient.Entry, now time.Time) error {
	var rec logRecord
	if err := json.Unmarshal(e.Data, &rec); err != nil {
		return errors.Wrap(err, "decode record")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records++
	l.delays = append(l.delays, ms(now.Sub(rec.At)))
	return nil
}

func (l *logResult) percentile(p float64) float64 {
	slices.Sort(l.delays)
	if len(l.delays) == 0 {
		return 0
	}
	return l.delays[min(int(p*float64(len(l.delays))), len(l.delays)-1)]
}

func (l *logResult) counter(name string) float64 {
	return float64(metrics.GetOrRegisterCounter(name, l.registry).Count())
}

// Log compares polling with a read that is held open, over several numbers of
// readers of one log service.
func (r *Report) Log(ctx context.Context) error {
	for _, n := range []int{48, 95, 190, 380, fullVMs} {
		for _, way := range []struct {
			name  string
			pause time.Duration
			hold  time.Duration
		}{{"poll", pollInterval, 0}, {"held", 0, heldOpen}} {
			got, requests, err := readLog(ctx, n, way.pause, way.hold, platform.Config{}, 1)
			if err != nil {
				return err
			}
			fixed := fmt.Sprintf("%d records of %d bytes in %.0f s", got.appended, recordBytes, got.seconds)
			each := float64(n) * got.seconds
			r.add("log."+way.name+".delay_p50", "reader", "ms", "", float64(n), got.percentile(0.5))
			r.add("log."+way.name+".delay_p99", "reader", "ms", "", float64(n), got.percentile(0.99))
			r.add("log."+way.name+".requests", "reader", "requests/s of all readers", fixed, float64(n), requests/got.seconds)
			r.add("log."+way.name+".reader_bytes", "reader", "bytes/s of one reader", fixed, float64(n), (got.counter("logclient.bytes_in")+got.counter("logclient.bytes_out"))/each)
		}
	}
	if err := r.quietLog(ctx); err != nil {
		return err
	}
	return r.gaps(ctx)
}

// quietLog measures what readers cost a log that gets no records.
func (r *Report) quietLog(ctx context.Context) error {
	for _, n := range []int{48, 95, 190, 380} {
		for _, way := range []struct {
			name  string
			pause time.Duration
			hold  time.Duration
		}{{"poll", pollInterval, 0}, {"held", 0, heldOpen}} {
			got, requests, err := readLog(ctx, n, way.pause, way.hold, platform.Config{}, 0)
			if err != nil {
				return err
			}
			bytes := got.counter("logclient.bytes_in") + got.counter("logclient.bytes_out")
			r.add("log."+way.name+".quiet_requests", "reader", "requests/s of all readers", "no records", float64(n), requests/got.seconds)
			r.add("log."+way.name+".quiet_bytes", "reader", "bytes/s of all readers", "no records", float64(n), bytes/got.seconds)
		}
	}
	return nil
}

// gaps measures bursts of records, whose later ones arrive while a reader
// is between an answer and its next request. A log that keeps only the last
// record stands for one that pushes messages without keeping them.
func (r *Report) gaps(ctx context.Context) error {
	for _, n := range []int{48, 95, 190, 380} {
		for _, way := range []struct {
			name   string
			retain int
		}{{"kept", 0}, {"last_only", 1}} {
			got, _, err := readLog(ctx, n, 0, heldOpen, platform.Config{RetainRecords: way.retain}, 3)
			if err != nil {
				return err
			}
			share := 100 * float64(got.missed) / float64(got.missed+got.records)
			r.add("log.burst.missed_"+way.name, "reader", "% of the records", "bursts of 3", float64(n), share)
			r.add("log.burst.delay_p99_"+way.name, "reader", "ms", "bursts of 3, records that were seen", float64(n), got.percentile(0.99))
		}
	}
	return nil
}

// readLog runs readers against a log service of its own and appends bursts.
func readLog(ctx context.Context, readers int, pause, hold time.Duration, cfg platform.Config, burst int) (*logResult, float64, error) {
	service := platform.New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, 0, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: service}
	go func() { _ = server.Serve(l) }() // ends with Close below
	defer server.Close()
	defer service.Close()
	url := "http://" + l.Addr().String()

	got := &logResult{registry: metrics.NewRegistry()}
	reading, stop := context.WithCancel(ctx)
	defer stop()
	group, reading := errgroup.WithContext(reading)
	for i := range readers {
		client := logclient.New(logclient.Config{BaseURL: url, Metrics: got.registry})
		group.Go(func() error {
			if pause > 0 {
				_ = wait(reading, rand.N(pause)) // readers do not start in step
			}
			return follow(reading, client, got, pause, hold, i)
		})
	}
	if err := wait(ctx, time.Second); err != nil { // until every reader waits at the end
		return nil, 0, err
	}
	before, began := service.Stats().Reads, time.Now()
	for name := range map[string]bool{"logclient.bytes_in": true, "logclient.bytes_out": true} {
		metrics.GetOrRegisterCounter(name, got.registry).Clear()
	}
	appender := logclient.New(logclient.Config{BaseURL: url})
	for burst > 0 && time.Since(began) < logRun {
		for range burst {
			rec := logRecord{At: time.Now(), Seq: got.appended, Text: string(make([]byte, 0, recordBytes)) + fmt.Sprintf("%0*d", recordBytes-80, 0)}
			data, err := json.Marshal(rec)
			if err != nil {
				return nil, 0, errors.Wrap(err, "encode record")
			}
			if _, err := appender.Append(ctx, stream, data); err != nil {
				return nil, 0, err
			}
			got.appended++
		}
		if err := wait(ctx, logPause/2+rand.N(logPause)); err != nil {
			return nil, 0, err
		}
	}
	if burst == 0 {
		if err := wait(ctx, logRun); err != nil {
			return nil, 0, err
		}
	}
	if err := wait(ctx, pollInterval+100*time.Millisecond); err != nil { // the last record reaches all
		return nil, 0, err
	}
	got.seconds = time.Since(began).Seconds()
	requests := float64(service.Stats().Reads - before)
	stop()
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	if lost := readers*got.appended - got.records; cfg.RetainRecords == 0 && lost != 0 {
		return nil, 0, errors.Errorf("%d records did not reach %d readers", lost, readers)
	}
	return got, requests, nil
}

// follow reads the stream until ctx ends.
func follow(ctx context.Context, client *logclient.Client, got *logResult, pause, hold time.Duration, reader int) error {
	next := uint64(0)
	for ctx.Err() == nil {
		page, err := client.Read(ctx, stream, next, 256, hold)
		now := time.Now()
		var gone *logclient.GoneError
		switch {
		case errors.As(err, &gone):
			got.mu.Lock()
			got.missed += int(gone.First - next)
			got.mu.Unlock()
			next = gone.First
			continue
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrapf(err, "reader %d", reader)
		}
		for _, e := range page.Records {
			if err := got.seen(e, now); err != nil {
				return err
			}
			next = e.Offset + 1
		}
		if pause > 0 {
			_ = wait(ctx, pause) // ends early only at the end of the run
		}
	}
	return nil
}
