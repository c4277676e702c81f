// Command mangogate routes requests of callers to the targets that own their keys.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/core/jsonc"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const exitFailure = 1

func main() {
	app := &cli.Command{
		Name:     "mangogate",
		Usage:    "route requests to the servers that own their keys",
		Commands: []*cli.Command{serveCommand(), platformCommand(), demoCommand()},
	}
	if err := usage.Strict(app).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns usage.ExitCode for invalid files, the exit code that another
// error carries, or exitFailure.
func exitCode(err error) int {
	var problems jsonc.Problems
	var coder cli.ExitCoder
	switch {
	case errors.As(err, &problems):
		return usage.ExitCode
	case errors.As(err, &coder):
		return coder.ExitCode()
	}
	return exitFailure
}
