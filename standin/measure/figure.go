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

// Figure is one measured value with its target value and the baselines.
type Figure struct {
	Section    int     `json:"section"`
	Deployment string  `json:"deployment"`
	Measure    string  `json:"measure"`
	Case       string  `json:"case"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
	// Target is the highest acceptable value, or with AtLeast the lowest.
	Target  *float64 `json:"target,omitempty"`
	AtLeast bool     `json:"at_least,omitempty"`
	// Met tells whether Value meets Target. It is nil without a Target.
	Met *bool `json:"met,omitempty"`
	// Baselines holds the value of each baseline by its name.
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

// add sets Met of a figure and appends the figure to the report.
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

// warn adds a warning to the report and prints it at once.
func (r *Report) warn(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.Warnings = append(r.Warnings, text)
	r.mu.Unlock()
	fmt.Fprintln(r.out, "warning:", text)
}

func targetValue(v float64) *float64 { return &v }

// Names of the baselines.
const (
	nameStatic     = "static hash"
	nameRoundRobin = "round robin"
	nameAdaptive   = "eight limits" // baseline.Adaptive in eight entries, one for each VM, with separate limits
	nameOracle     = "oracle"
	nameDirect     = "without" // load sent to the target without the router
)

var columns = []string{nameDirect, nameStatic, nameRoundRobin, nameAdaptive, nameOracle}

// Print writes the figures as a table with a column for each baseline.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "§\tDEPLOYMENT\tMEASURE\tCASE\tVALUE\tUNIT\tTARGET\tMET")
	for _, c := range columns {
		fmt.Fprint(w, "\t", c)
	}
	fmt.Fprintln(w, "\tNOTE")
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", f.Section, f.Deployment, f.Measure, f.Case, formatValue(f.Value), f.Unit, f.target(), f.met())
		for _, c := range columns {
			text := "-"
			if v, ok := f.Baselines[c]; ok {
				text = formatValue(v)
			}
			fmt.Fprint(w, "\t", text)
		}
		fmt.Fprintln(w, "\t"+f.Note)
	}
	return w.Flush()
}

func formatValue(v float64) string {
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
		return ">=" + formatValue(*f.Target)
	}
	return "<=" + formatValue(*f.Target)
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

// quantile returns the q-quantile of values, q from 0 to 1, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
