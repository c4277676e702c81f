package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Figure is one measured value with what it is compared to.
type Figure struct {
	Section    int     `json:"section"`
	Deployment string  `json:"deployment"`
	Measure    string  `json:"measure"`
	Case       string  `json:"case"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
	// Target is the most (or with AtLeast the least) that is asked for.
	Target  *float64 `json:"target,omitempty"`
	AtLeast bool     `json:"at_least,omitempty"`
	Met     *bool    `json:"met,omitempty"`
	// Baselines holds the same value of other ways, by name.
	Baselines map[string]float64 `json:"baselines,omitempty"`
	Note      string             `json:"note,omitempty"`
}

// Report is the result of a run.
type Report struct {
	Began    time.Time `json:"began"`
	Seconds  float64   `json:"seconds"`
	Command  []string  `json:"command"`
	Seed     int64     `json:"seed"`
	Figures  []Figure  `json:"figures"`
	Warnings []string  `json:"warnings"`

	mu  sync.Mutex
	out io.Writer
}

// add completes a figure and keeps it.
func (r *Report) add(f Figure) {
	if f.Target != nil {
		met := f.Value <= *f.Target
		if f.AtLeast {
			met = f.Value >= *f.Target
		}
		f.Met = &met
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Figures = append(r.Figures, f)
}

func (r *Report) warn(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.Warnings = append(r.Warnings, text)
	r.mu.Unlock()
	fmt.Fprintln(r.out, "warning:", text)
}

func limit(v float64) *float64 { return &v }

// Names of the ways that stand beside the router.
const (
	nameStatic     = "static hash"
	nameRoundRobin = "round robin"
	nameAdaptive   = "eight limits"
	nameOracle     = "oracle"
	nameDirect     = "without"
)

var columns = []string{nameDirect, nameStatic, nameRoundRobin, nameAdaptive, nameOracle}

// Print writes the figures as a table.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "§\tDEPLOYMENT\tMEASURE\tCASE\tVALUE\tUNIT\tTARGET\tMET")
	for _, c := range columns {
		fmt.Fprint(w, "\t", c)
	}
	fmt.Fprintln(w, "\tNOTE")
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", f.Section, f.Deployment, f.Measure, f.Case, number(f.Value), f.Unit, f.target(), f.met())
		for _, c := range columns {
			text := "-"
			if v, ok := f.Baselines[c]; ok {
				text = number(v)
			}
			fmt.Fprint(w, "\t", text)
		}
		fmt.Fprintln(w, "\t"+f.Note)
	}
	return w.Flush()
}

func number(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}

func (f Figure) target() string {
	switch {
	case f.Target == nil:
		return "-"
	case f.AtLeast:
		return ">=" + number(*f.Target)
	}
	return "<=" + number(*f.Target)
}

func (f Figure) met() string {
	switch {
	case f.Met == nil:
		return "-"
	case *f.Met:
		return "yes"
	}
	return "NO"
}

// Write writes the report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measures")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "create directory")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write measures")
}

// quantile returns a quantile of values, 0 without any.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
