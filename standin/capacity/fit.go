// Package capacity measures how the cost of the control plane grows with the size
// of the deployment, and fits a line to each cost. docs/CAPACITY.md extrapolates
// the lines to the full size.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares line. R2 is the coefficient of determination, the share
// of the variance that the line explains.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"`
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line through the points. With fewer than two
// different X, the slope and R2 are 0.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - mx) * (p.X - mx)
		xy += (p.X - mx) * (p.Y - my)
		yy += (p.Y - my) * (p.Y - my)
	}
	if xx == 0 {
		return Line{Intercept: my}
	}
	l := Line{Slope: xy / xx, R2: 1}
	l.Intercept = my - l.Slope*mx
	if yy > 0 {
		l.R2 = xy * xy / (xx * yy)
	}
	return l
}

// Series holds one cost, measured at several values of one size.
type Series struct {
	Name   string  `json:"name"`
	X      string  `json:"x"`               // what the size counts
	Y      string  `json:"y"`               // unit of the cost
	Fixed  string  `json:"fixed,omitempty"` // conditions that stay the same
	Points []Point `json:"points"`
	Fit    Line    `json:"fit"`
}

// Report holds the series of a run.
type Report struct {
	Series []*Series `json:"series"`
}

// add appends a point to the series with this name, which it creates if missing.
func (r *Report) add(name, x, y, fixed string, size, value float64) {
	for _, s := range r.Series {
		if s.Name == name {
			s.Points = append(s.Points, Point{size, value})
			s.Fit = Fit(s.Points)
			return
		}
	}
	r.Series = append(r.Series, &Series{Name: name, X: x, Y: y, Fixed: fixed, Points: []Point{{size, value}}, Fit: Fit([]Point{{size, value}})})
}

// Print writes one line per series.
func (r *Report) Print(w io.Writer) {
	for _, s := range r.Series {
		var sizes, values []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%.4g", p.X))
			values = append(values, fmt.Sprintf("%.4g", p.Y))
		}
		fmt.Fprintf(w, "%-34s %-20s at %s: %s; slope %.4g per %s, intercept %.4g, R2 %.3f",
			s.Name, s.Y, strings.Join(sizes, " "), strings.Join(values, " "), s.Fit.Slope, s.X, s.Fit.Intercept, s.Fit.R2)
		if s.Fixed != "" {
			fmt.Fprintf(w, " (%s)", s.Fixed)
		}
		fmt.Fprintln(w)
	}
}

// Merge writes the report to a JSON file. It keeps the series in the file that this
// report lacks, and replaces the others.
func (r *Report) Merge(path string) error {
	all := Report{}
	if data, err := os.ReadFile(path); err == nil {
		if err := json.Unmarshal(data, &all); err != nil {
			return errors.Wrapf(err, "read %s", path)
		}
	}
	for _, s := range r.Series {
		all.replace(s)
	}
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "create directory of report")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o644), "write report")
}

func (r *Report) replace(s *Series) {
	for i := range r.Series {
		if r.Series[i].Name == s.Name {
			r.Series[i] = s
			return
		}
	}
	r.Series = append(r.Series, s)
}
