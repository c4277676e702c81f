package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

const (
	minDemoDuration = 8 * time.Second // a shorter run has too little time between the failures
	demoRate        = 300.0           // requests per second to each service
	demoReadShare   = 0.7             // share of reads among the requests
	demoKeys        = 400             // distinct keys in the requests
	demoReadyLimit  = 15 * time.Second
	// drainLimit is how long after an accepted drain requests may still start in
	// the drained data centre.
	drainLimit = 3 * time.Second
	// failoverLimit is how long a key may be unavailable after the loss of its
	// target.
	failoverLimit = 4 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on loopback, kill a target, drain a data centre, and check the promises",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long callers send requests"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "log level of the VMs"},
		},
		Action: demo,
	}
}

// demoRun is one run of the demo: its deployment, results and failures.
type demoRun struct {
	dep        *deployment
	startedAt  time.Time
	mu         sync.Mutex
	results    []loadgen.Result
	reports    map[string]loadgen.Report
	drainedAt  time.Time // when the drain of the data centre was accepted
	restoredAt time.Time // when the data centre was about to be put back into service
	killedAt   time.Time // when the target was killed
	killed     string    // name of the killed target
}

func demo(ctx context.Context, c *cli.Command) error {
	length := c.Duration("for")
	if length < minDemoDuration {
		return cli.Exit(fmt.Sprintf("--for must be at least %v: the demo kills a target, drains a data centre and puts it back", minDemoDuration), usage.ExitCode)
	}
	level := hclog.LevelFromString(c.String("log-level"))
	if level == hclog.NoLevel {
		return cli.Exit(fmt.Sprintf("--log-level %q is not trace, debug, info, warn or error", c.String("log-level")), usage.ExitCode)
	}
	dir, err := os.MkdirTemp("", "mangogate-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	dep, err := startDeployment(ctx, filepath.Join(dir, "secret"), hclog.New(&hclog.LoggerOptions{Level: level, Output: os.Stderr}))
	if err != nil {
		return err
	}
	defer dep.close()
	run := &demoRun{dep: dep, reports: map[string]loadgen.Report{}}
	if err := run.load(ctx, length, c.Int64("seed")); err != nil {
		return err
	}
	result := run.check(dep.executions(), length)
	if err := result.print(c.Root().Writer, c.Bool("json")); err != nil {
		return err
	}
	if !result.Held {
		return cli.Exit("a promise was broken", exitFailure)
	}
	return nil
}

// load sends requests to all services while it injects the failures.
func (r *demoRun) load(ctx context.Context, length time.Duration, seed int64) error {
	r.startedAt = time.Now()
	var group errgroup.Group
	for i, service := range r.dep.document.Services {
		group.Go(func() error {
			report, err := loadgen.Run(ctx, loadgen.Config{
				Entries: r.dep.callerAddrs(), Duration: length, Rate: demoRate, ReadRatio: demoReadShare, Keys: demoKeys,
				ReadPath: "/" + service.Name + "/{key}", WritePath: "/" + service.Name + "/{key}",
				Repeats: 2, Deadline: 5 * time.Second, Seed: seed + int64(i), OnResult: r.addResult,
			})
			r.mu.Lock()
			defer r.mu.Unlock()
			r.reports[service.Name] = report
			return err
		})
	}
	group.Go(func() error { return r.injectFailures(ctx, length) })
	return group.Wait()
}

func (r *demoRun) addResult(res loadgen.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// injectFailures kills a target after 20 % of the run, drains a data centre after
// 40 % and puts it back into service after 75 %.
func (r *demoRun) injectFailures(ctx context.Context, length time.Duration) error {
	waitUntil := func(share float64) { time.Sleep(time.Until(r.startedAt.Add(time.Duration(share * float64(length))))) }
	waitUntil(0.2)
	killed := r.dep.targets[0]
	r.killed, r.killedAt = killed.name, time.Now()
	killed.kill()
	waitUntil(0.4)
	if err := r.drain(ctx, true); err != nil {
		return err
	}
	r.drainedAt = time.Now()
	waitUntil(0.75)
	r.restoredAt = time.Now()
	return r.drain(ctx, false)
}

// drain takes the third data centre out of service or puts it back.
func (r *demoRun) drain(ctx context.Context, out bool) error {
	return r.dep.drain(ctx, control.ScopeDataCentre, r.dep.document.DataCentres[2].Name, out)
}

// executions returns the requests that the targets have executed so far.
func (d *deployment) executions() []target.Execution {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]target.Execution(nil), d.executed...)
}
