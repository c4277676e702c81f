// Package usage gives both binaries the same exit code for wrong arguments.
package usage

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// ExitCode means that arguments or files are wrong; nothing was started or changed.
const ExitCode = 2

// Strict makes a command and its subcommands end with ExitCode for unknown
// flags and subcommands.
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

func unknownCommand(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return cli.ShowSubcommandHelp(c)
	}
	return cli.Exit(fmt.Sprintf("%s: unknown command %q", c.FullName(), c.Args().First()), ExitCode)
}
