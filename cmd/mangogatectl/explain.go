package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLine is the longest line of a log file that can be read; a longer one is
// an error.
const maxLogLine = 1 << 20 // bytes

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print all decisions on one request from the logs of several VMs, in order of time",
		ArgsUsage: "REQUEST-ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) < 2 {
				return cli.Exit("explain needs a request id and at least one log file", usage.ExitCode)
			}
			return explainFiles(os.Stdout, args[0], args[1:])
		},
	}
}

// logLine is one line of the log of a VM.
type logLine struct {
	time, module, message string
	fields                []string // "name=value", sorted
}

// explainFiles prints the lines about a request from all log files by time.
func explainFiles(out io.Writer, id string, paths []string) error {
	var lines []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		found, err := linesOf(f, id)
		f.Close()
		if err != nil {
			return errors.Wrapf(err, "read log %s", path)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no line about request %q in %d files", id, len(paths))
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s %-28s %s  %s\n", l.time, l.module, l.message, strings.Join(l.fields, " ")); err != nil {
			return err
		}
	}
	return nil
}

// linesOf returns the log lines about a request. Text before the first brace of a
// line, such as a timestamp added by a log collector, is ignored, and so are lines
// that are not JSON.
func linesOf(r io.Reader, id string) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil || fields["request"] != id {
			continue // a line of another program or about another request
		}
		out = append(out, parseLine(fields))
	}
	return out, scanner.Err()
}

// parseLine converts the decoded JSON of a log line. It omits empty fields.
func parseLine(fields map[string]any) logLine {
	text := func(name string) string { return fmt.Sprint(fields[name]) }
	l := logLine{time: text("@timestamp"), module: text("@module"), message: text("@message")}
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") && name != "request" && value != nil && value != "" {
			l.fields = append(l.fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(l.fields)
	return l
}
