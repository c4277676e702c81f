package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/core/configcheck"
	"github.com/mangogate/mangogate/platform"
	"github.com/urfave/cli/v3"
)

// validateCommand checks an inventory file, or a configuration of the platform's store,
// without contacting a VM.
func validateCommand() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check an inventory file, or with --store a configuration of the platform's store", ArgsUsage: "[FILE]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "`FILE` with a configuration of the platform's store (JSON)"},
			&cli.StringFlag{Name: "in-force", Usage: "`FILE` with the configuration in force, to compare with"},
			&cli.BoolFlag{Name: "json", Usage: "report findings and differences as JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.IsSet("store") {
				return validateStore(c)
			}
			if c.IsSet("in-force") || c.Bool("json") {
				return cli.Exit(c.FullName()+": --in-force and --json need --store", usage.ExitCode)
			}
			path, doc, err := loadInventory(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%s is valid: %d data centres, %d services, %d targets, %d rules\n",
				path, len(doc.DataCentres), len(doc.Services), len(doc.Targets), len(doc.Rules))
			return nil
		},
	}
}

// storeReport is the outcome of validateStore, as JSON with --json.
type storeReport struct {
	File        string                   `json:"file"`
	Valid       bool                     `json:"valid"` // no finding is an error
	Compared    bool                     `json:"compared"`
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

// validateStore is the action of validateCommand with --store. It exits with
// usage.ExitCode if a finding is an error.
func validateStore(c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(fmt.Sprintf("%s: --store names the file, but there is also %q", c.FullName(), c.Args().First()), usage.ExitCode)
	}
	var inForce *configcheck.Document
	if path := c.String("in-force"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return cli.Exit(err.Error(), usage.ExitCode)
		}
		doc, findings := platform.ReadConfig(text)
		if doc == nil {
			return cli.Exit(findingLine(path, findings[0]), usage.ExitCode)
		}
		inForce = doc
	}
	path := c.String("store")
	text, err := os.ReadFile(path)
	if err != nil {
		return cli.Exit(err.Error(), usage.ExitCode)
	}
	report := checkStore(path, text, inForce)
	if c.Bool("json") {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.write(c.Root().Writer)
	}
	if err == nil && !report.Valid {
		return cli.Exit("", usage.ExitCode)
	}
	return err
}

// checkStore checks the text of a configuration; inForce may be nil.
func checkStore(path string, text []byte, inForce *configcheck.Document) storeReport {
	doc, findings := platform.ReadConfig(text)
	r := storeReport{File: path, Compared: inForce != nil && doc != nil, Findings: []configcheck.Finding{}, Differences: []configcheck.Difference{}}
	r.Findings = append(r.Findings, findings...)
	if doc != nil {
		r.Findings = append(r.Findings, configcheck.Check(doc, inForce, platform.ConfigFields)...)
	}
	if r.Compared {
		r.Differences = append(r.Differences, configcheck.Differences(inForce, doc, platform.ConfigFields)...)
	}
	r.Valid = !configcheck.HasErrors(r.Findings)
	return r
}

// findingLine returns the line that an operator reads.
func findingLine(path string, f configcheck.Finding) string {
	if f.Line > 0 {
		return fmt.Sprintf("%s:%d:%d: %v", path, f.Line, f.Column, f)
	}
	return fmt.Sprintf("%s: %v", path, f)
}

func (r storeReport) write(w io.Writer) error {
	errors, warnings := 0, 0
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			errors++
		} else {
			warnings++
		}
		if _, err := fmt.Fprintln(w, findingLine(r.File, f)); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintf(w, "%s: change: %v\n", r.File, d); err != nil {
			return err
		}
	}
	outcome := "is valid"
	if !r.Valid {
		outcome = "must not be sent"
	}
	compared := fmt.Sprintf("%d changes", len(r.Differences))
	if !r.Compared {
		compared = "not compared with a version in force"
	}
	_, err := fmt.Fprintf(w, "%s %s: %d errors, %d warnings, %s\n", r.File, outcome, errors, warnings, compared)
	return err
}
