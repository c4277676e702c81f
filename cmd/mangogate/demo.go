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
	minDemo        = 8 * time.Second
	demoRate       = 300.0 // requests a second of each service
	demoReadShare  = 0.7
	demoKeys       = 400
	demoReadyLimit = 15 * time.Second
	// noNewWork is how soon a data centre that was taken out gets no new work.
	noNewWork = 3 * time.Second
	// servedAgain is how soon a key is served again after the loss of its server.
	servedAgain = 4 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on loopback, lose a server and a data centre, and check the promises",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long callers send requests"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "of the load"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "of the VMs"},
		},
		Action: demo,
	}
}

// demoRun is one run of the demo.
type demoRun struct {
	dep     *deployment
	began   time.Time
	mu      sync.Mutex
	results []loadgen.Result
	reports map[string]loadgen.Report
	outAt   time.Time // when the data centre's drain was accepted
	inAt    time.Time
	lostAt  time.Time
	lost    string
}

func demo(ctx context.Context, c *cli.Command) error {
	length := c.Duration("for")
	if length < minDemo {
		return cli.Exit(fmt.Sprintf("--for must be at least %v: the demo loses a server and takes a data centre out and back", minDemo), usage.ExitCode)
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

// load sends requests to all services while the failures happen.
func (r *demoRun) load(ctx context.Context, length time.Duration, seed int64) error {
	r.began = time.Now()
	var group errgroup.Group
	for i, service := range r.dep.document.Services {
		group.Go(func() error {
			report, err := loadgen.Run(ctx, loadgen.Config{
				Entries: r.dep.entries(), Duration: length, Rate: demoRate, ReadRatio: demoReadShare, Keys: demoKeys,
				ReadPath: "/" + service.Name + "/{key}", WritePath: "/" + service.Name + "/{key}",
				Repeats: 2, Deadline: 5 * time.Second, Seed: seed + int64(i), OnResult: r.result,
			})
			r.mu.Lock()
			defer r.mu.Unlock()
			r.reports[service.Name] = report
			return err
		})
	}
	group.Go(func() error { return r.failures(ctx, length) })
	return group.Wait()
}

func (r *demoRun) result(res loadgen.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// failures loses a server at 20 % of the time, takes a data centre out at 40 %
// and back in at 75 %.
func (r *demoRun) failures(ctx context.Context, length time.Duration) error {
	at := func(share float64) { time.Sleep(time.Until(r.began.Add(time.Duration(share * float64(length))))) }
	at(0.2)
	lost := r.dep.targets[0]
	r.lost, r.lostAt = lost.name, time.Now()
	lost.kill()
	at(0.4)
	if err := r.drain(ctx, true); err != nil {
		return err
	}
	r.outAt = time.Now()
	at(0.75)
	r.inAt = time.Now()
	return r.drain(ctx, false)
}

func (r *demoRun) drain(ctx context.Context, out bool) error {
	return r.dep.drain(ctx, control.ScopeDataCentre, r.dep.document.DataCentres[2].Name, out)
}

// executions returns what all targets executed.
func (d *deployment) executions() []target.Execution {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]target.Execution(nil), d.executed...)
}
