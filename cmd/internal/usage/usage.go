// Package usage makes both binaries exit with the same code for invalid arguments.
package usage

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// ExitCode is the exit code for invalid arguments or files. Nothing was started or
// changed.
const ExitCode = 2

// Strict makes a command and all its subcommands exit with ExitCode for invalid or
// missing flags and unknown subcommands. It changes c and returns it.
func Strict(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit(err.Error(), ExitCode)
	}
	if len(c.Commands) > 0 && c.Action == nil {
		c.Action = unknownCommand
	}
	for _, sub := range c.Commands {
		Strict(sub)
	}
	return c
}

// unknownCommand is the action of commands that only have subcommands. It shows the
// help if there is no argument.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return cli.ShowSubcommandHelp(c)
	}
	return cli.Exit(fmt.Sprintf("%s: unknown command %q", c.FullName(), c.Args().First()), ExitCode)
}
