// Package measure compares the router with baselines. It runs the deployments of
// the design page on one machine, with stand-ins for platform, targets and callers.
package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/pkg/errors"
)

// Options select what is measured.
type Options struct {
	Only        []int    // sections; empty means all
	Deployments []string // names; empty means all
	Quick       bool     // shorter runs, which leave few samples for the high quantiles
	Seed        int64
	Out         io.Writer
	Command     []string
}

// session is the state of one call of Run.
type session struct {
	ctx      context.Context
	opt      Options
	report   *Report
	binaries cluster.Binaries
	wakeups  *wakeupMonitor
	dir      string
}

// Run takes the selected measurements and returns the report. A missed target value
// is no error. After an error in a measurement, such as a deployment that does not
// start, the report holds the figures before it. It is nil if nothing was measured
// because the programs do not build.
func Run(ctx context.Context, opt Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "mangogate-measure-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &session{ctx: ctx, opt: opt, dir: dir, wakeups: &wakeupMonitor{},
		report: &Report{Began: time.Now(), Seed: opt.Seed, Command: opt.Command, Warnings: []string{}, out: opt.Out}}
	if s.binaries, err = cluster.Build(dir); err != nil {
		return nil, err
	}
	monitorCtx, stop := context.WithCancel(ctx)
	defer stop()
	go s.wakeups.run(monitorCtx)
	if s.selected(1) {
		if err := s.hop(); err != nil {
			return s.report, errors.Wrap(err, "section 1")
		}
	}
	for _, d := range deployments {
		if len(opt.Deployments) == 0 || slices.Contains(opt.Deployments, d.name) {
			if err := s.deployment(d); err != nil {
				return s.report, errors.Wrap(err, d.name)
			}
		}
	}
	s.report.Seconds = time.Since(s.report.Began).Seconds()
	return s.report, nil
}

func (s *session) selected(section int) bool {
	return len(s.opt.Only) == 0 || slices.Contains(s.opt.Only, section)
}

// scaleDuration halves d in a quick run.
func (s *session) scaleDuration(d time.Duration) time.Duration {
	if s.opt.Quick {
		return d / 2
	}
	return d
}

// progress prints a line with the time since the start of the run.
func (s *session) progress(format string, args ...any) {
	fmt.Fprintf(s.opt.Out, "%6.1f s  %s\n", time.Since(s.report.Began).Seconds(), fmt.Sprintf(format, args...))
}

// checkWakeupDelay warns if the scheduling delay since the last call of takeP99 was
// too high for reliable latencies, and then returns a note for the figures.
func (s *session) checkWakeupDelay(measurement string) string {
	p99 := s.wakeups.takeP99()
	if p99 <= maxWakeupDelayMS {
		return ""
	}
	s.report.warn("%s: the machine was too busy for reliable latencies: scheduling delay p99 %.1f ms", measurement, p99)
	return fmt.Sprintf("busy %.1f ms", p99)
}

// section is a group of measurements on a testbed.
type section struct {
	number int
	run    func(*session, *testbed) error
}

// deployment starts a deployment and runs the selected sections on it.
func (s *session) deployment(d deployment) error {
	var wanted []section
	for _, sec := range sections {
		if s.selected(sec.number) {
			wanted = append(wanted, sec)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	s.progress("starting %s", d.name)
	tb, err := s.start(d)
	if err != nil {
		return err
	}
	defer tb.close()
	for _, sec := range wanted {
		s.progress("%s: section %d", d.name, sec.number)
		s.wakeups.takeP99()
		if err := sec.run(s, tb); err != nil {
			return errors.Wrapf(err, "section %d", sec.number)
		}
	}
	return nil
}
