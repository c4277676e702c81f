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
	stream          = "control"
	pollInterval    = 500 * time.Millisecond
	longPollTimeout = 2 * time.Second // the same as in node/replica
	logDuration     = 4 * time.Second
	logMeanInterval = 300 * time.Millisecond // mean time between two bursts of records
	recordBytes     = 200
)

// logRecord is the content of an appended record.
type logRecord struct {
	At   time.Time `json:"at"`
	Seq  int       `json:"seq"`
	Text string    `json:"text"`
}

// logResult is the result of one run, over all readers.
type logResult struct {
	mu       sync.Mutex
	delays   []float64 // ms, from append to receipt
	records  int       // received
	missed   int       // dropped from the log before a reader read them
	registry metrics.Registry
	seconds  float64
	appended int
}

// record adds a received record.
func (l *logResult) record(record logclient.Record, now time.Time) error {
	var rec logRecord
	if err := json.Unmarshal(record.Data, &rec); err != nil {
		return errors.Wrap(err, "decode record")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records++
	l.delays = append(l.delays, ms(now.Sub(rec.At)))
	return nil
}

// quantile returns the p-quantile of the delays in milliseconds, p from 0 to 1, or 0
// without any. It must not run concurrently with record.
func (l *logResult) quantile(p float64) float64 {
	slices.Sort(l.delays)
	if len(l.delays) == 0 {
		return 0
	}
	return l.delays[min(int(p*float64(len(l.delays))), len(l.delays)-1)]
}

func (l *logResult) counter(name string) float64 {
	return float64(metrics.GetOrRegisterCounter(name, l.registry).Count())
}

// Log compares polling with long polling, a read that the log service holds open
// until there is a record, for several numbers of readers of one log service.
func (r *Report) Log(ctx context.Context) error {
	for _, n := range []int{48, 95, 190, 380, fullVMs} {
		for _, mode := range []struct {
			name      string
			pollPause time.Duration
			longPoll  time.Duration
		}{{"poll", pollInterval, 0}, {"held", 0, longPollTimeout}} {
			result, requests, err := readLog(ctx, n, mode.pollPause, mode.longPoll, platform.Config{}, 1)
			if err != nil {
				return err
			}
			fixed := fmt.Sprintf("%d records of %d bytes in %.0f s", result.appended, recordBytes, result.seconds)
			readerSeconds := float64(n) * result.seconds
			r.add("log."+mode.name+".delay_p50", "reader", "ms", "", float64(n), result.quantile(0.5))
			r.add("log."+mode.name+".delay_p99", "reader", "ms", "", float64(n), result.quantile(0.99))
			r.add("log."+mode.name+".requests", "reader", "requests/s of all readers", fixed, float64(n), requests/result.seconds)
			r.add("log."+mode.name+".reader_bytes", "reader", "bytes/s of one reader", fixed, float64(n), (result.counter("logclient.bytes_in")+result.counter("logclient.bytes_out"))/readerSeconds)
		}
	}
	if err := r.idleLog(ctx); err != nil {
		return err
	}
	return r.logBursts(ctx)
}

// idleLog measures the cost of readers of a log to which nothing is appended.
func (r *Report) idleLog(ctx context.Context) error {
	for _, n := range []int{48, 95, 190, 380} {
		for _, mode := range []struct {
			name      string
			pollPause time.Duration
			longPoll  time.Duration
		}{{"poll", pollInterval, 0}, {"held", 0, longPollTimeout}} {
			result, requests, err := readLog(ctx, n, mode.pollPause, mode.longPoll, platform.Config{}, 0)
			if err != nil {
				return err
			}
			bytes := result.counter("logclient.bytes_in") + result.counter("logclient.bytes_out")
			r.add("log."+mode.name+".quiet_requests", "reader", "requests/s of all readers", "no records", float64(n), requests/result.seconds)
			r.add("log."+mode.name+".quiet_bytes", "reader", "bytes/s of all readers", "no records", float64(n), bytes/result.seconds)
		}
	}
	return nil
}

// logBursts measures bursts, whose later records are appended while a reader is
// between two reads. It compares a log that keeps all records with one that keeps
// only the last, which stands for a service that pushes messages without storing them.
func (r *Report) logBursts(ctx context.Context) error {
	for _, n := range []int{48, 95, 190, 380} {
		for _, mode := range []struct {
			name   string
			retain int
		}{{"kept", 0}, {"last_only", 1}} {
			result, _, err := readLog(ctx, n, 0, longPollTimeout, platform.Config{RetainRecords: mode.retain}, 3)
			if err != nil {
				return err
			}
			share := 100 * float64(result.missed) / float64(result.missed+result.records)
			r.add("log.burst.missed_"+mode.name, "reader", "% of the records", "bursts of 3", float64(n), share)
			r.add("log.burst.delay_p99_"+mode.name, "reader", "ms", "bursts of 3, records that were seen", float64(n), result.quantile(0.99))
		}
	}
	return nil
}

// readLog starts a log service and readers, and appends bursts of burst records for
// logDuration, or none if burst is 0. It returns what the readers received and the
// number of their reads. pollPause is the time between two reads of a reader,
// longPoll the time for which the service may hold a read open.
func readLog(ctx context.Context, readers int, pollPause, longPoll time.Duration, cfg platform.Config, burst int) (*logResult, float64, error) {
	logService := platform.New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, 0, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: logService}
	go func() { _ = server.Serve(l) }() // returns when server.Close is called
	defer server.Close()
	defer logService.Close()
	url := "http://" + l.Addr().String()

	result := &logResult{registry: metrics.NewRegistry()}
	readCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, readCtx := errgroup.WithContext(readCtx)
	for i := range readers {
		client := logclient.New(logclient.Config{BaseURL: url, Metrics: result.registry})
		group.Go(func() error {
			if pollPause > 0 {
				_ = wait(readCtx, rand.N(pollPause)) // spreads the readers over the poll interval
			}
			return follow(readCtx, client, result, pollPause, longPoll, i)
		})
	}
	if err := wait(ctx, time.Second); err != nil { // until every reader has reached the end of the log
		return nil, 0, err
	}
	before, start := logService.Stats().Reads, time.Now()
	for name := range map[string]bool{"logclient.bytes_in": true, "logclient.bytes_out": true} {
		metrics.GetOrRegisterCounter(name, result.registry).Clear()
	}
	appender := logclient.New(logclient.Config{BaseURL: url})
	for burst > 0 && time.Since(start) < logDuration {
		for range burst {
			rec := logRecord{At: time.Now(), Seq: result.appended, Text: string(make([]byte, 0, recordBytes)) + fmt.Sprintf("%0*d", recordBytes-80, 0)}
			data, err := json.Marshal(rec)
			if err != nil {
				return nil, 0, errors.Wrap(err, "encode record")
			}
			if _, err := appender.Append(ctx, stream, data); err != nil {
				return nil, 0, err
			}
			result.appended++
		}
		if err := wait(ctx, logMeanInterval/2+rand.N(logMeanInterval)); err != nil {
			return nil, 0, err
		}
	}
	if burst == 0 {
		if err := wait(ctx, logDuration); err != nil {
			return nil, 0, err
		}
	}
	if err := wait(ctx, pollInterval+100*time.Millisecond); err != nil { // until every reader has received the last record
		return nil, 0, err
	}
	result.seconds = time.Since(start).Seconds()
	requests := float64(logService.Stats().Reads - before)
	stop()
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	if lost := readers*result.appended - result.records; cfg.RetainRecords == 0 && lost != 0 {
		return nil, 0, errors.Errorf("%d records did not reach %d readers", lost, readers)
	}
	return result, requests, nil
}

// follow reads the stream from its first record until ctx ends, and adds the records
// to result.
func follow(ctx context.Context, client *logclient.Client, result *logResult, pollPause, longPoll time.Duration, reader int) error {
	next := uint64(0)
	for ctx.Err() == nil {
		page, err := client.Read(ctx, stream, next, 256, longPoll)
		now := time.Now()
		var goneErr *logclient.GoneError
		switch {
		case errors.As(err, &goneErr):
			result.mu.Lock()
			result.missed += int(goneErr.First - next)
			result.mu.Unlock()
			next = goneErr.First
			continue
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return errors.Wrapf(err, "reader %d", reader)
		}
		for _, e := range page.Records {
			if err := result.record(e, now); err != nil {
				return err
			}
			next = e.Offset + 1
		}
		if pollPause > 0 {
			_ = wait(ctx, pollPause) // an error means that the run has ended; the loop checks ctx
		}
	}
	return nil
}
