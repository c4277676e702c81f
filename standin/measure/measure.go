// Package measure runs the deployments of the design page with stand-ins on
// one machine and reports figures beside baselines.
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
	Only        []int // sections; empty means all
	Deployments []string
	Quick       bool // shorter runs; tails rest on few samples
	Seed        int64
	Out         io.Writer
	Command     []string
}

type session struct {
	ctx      context.Context
	opt      Options
	report   *Report
	binaries cluster.Binaries
	busy     *busyMonitor
	dir      string
}

// Run measures and returns the report. The error is one of the surroundings:
// programs that do not build or a deployment that does not start.
func Run(ctx context.Context, opt Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "mangogate-measure-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &session{ctx: ctx, opt: opt, dir: dir, busy: &busyMonitor{},
		report: &Report{Began: time.Now(), Seed: opt.Seed, Command: opt.Command, Warnings: []string{}, out: opt.Out}}
	if s.binaries, err = cluster.Build(dir); err != nil {
		return nil, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go s.busy.run(watching)
	if s.wants(1) {
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

func (s *session) wants(section int) bool {
	return len(s.opt.Only) == 0 || slices.Contains(s.opt.Only, section)
}

// span shortens a time in a quick run.
func (s *session) span(d time.Duration) time.Duration {
	if s.opt.Quick {
		return d / 2
	}
	return d
}

func (s *session) say(format string, args ...any) {
	fmt.Fprintf(s.opt.Out, "%6.1f s  %s\n", time.Since(s.report.Began).Seconds(), fmt.Sprintf(format, args...))
}

// checkBusy warns when the machine was too busy since the last call for
// latencies to mean much, and returns a note for the figures.
func (s *session) checkBusy(what string) string {
	late := s.busy.take()
	if late <= busyLimitMS {
		return ""
	}
	s.report.warn("%s: the machine was too busy for latencies to mean much: scheduling delay p99 %.1f ms", what, late)
	return fmt.Sprintf("busy %.1f ms", late)
}

// section is a part that needs a running deployment with delays.
type section struct {
	number int
	run    func(*session, *site) error
}

func (s *session) deployment(d deployment) error {
	var wanted []section
	for _, part := range sections {
		if s.wants(part.number) {
			wanted = append(wanted, part)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	s.say("starting %s", d.name)
	site, err := s.start(d)
	if err != nil {
		return err
	}
	defer site.close()
	for _, part := range wanted {
		s.say("%s: section %d", d.name, part.number)
		s.busy.take()
		if err := part.run(s, site); err != nil {
			return errors.Wrapf(err, "section %d", part.number)
		}
	}
	return nil
}
