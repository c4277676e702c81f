// Command mangogatectl is the command line client of the operators of a deployment.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/core/control"
	"github.com/urfave/cli/v3"
)

// Exit codes besides usage.ExitCode.
const (
	exitFailure    = 1
	exitConflict   = 3 // another change was accepted first
	exitNotInForce = 4 // accepted, but not in force on every VM in time
)

func main() {
	app := &cli.Command{
		Name:  "mangogatectl",
		Usage: "operate a mangogate deployment",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm", Sources: cli.EnvVars("MANGOGATE_VM"),
				Usage: "operators' `ADDRESS` of a VM; repeat it to have others tried when one does not answer"},
			&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("MANGOGATE_TOKEN_FILE"), Usage: "`FILE` with the operators' token"},
			&cli.StringFlag{Name: "ca-file", Sources: cli.EnvVars("MANGOGATE_CA_FILE"), Usage: "`FILE` with the CA of the VMs' certificates; without it plain HTTP is used"},
			&cli.StringFlag{Name: "cert-file", Usage: "`FILE` with a client certificate"},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the key of the client certificate"},
		},
		Commands: []*cli.Command{
			validateCommand(), applyCommand(), diffCommand(), statusCommand(), ownerCommand(), timelineCommand(), explainCommand(),
			drainCommand("data-centre", control.ScopeDataCentre, "a data centre"),
			drainCommand("vm", control.ScopeVM, "a VM"),
			drainCommand("target", control.ScopeTarget, "a target"),
		},
	}
	if err := usage.Strict(app).Run(context.Background(), os.Args); err != nil {
		// Run exits the process itself for errors that carry an exit code.
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func argumentAndClient(c *cli.Command, what string) (string, *client, error) {
	text, err := argument(c, what)
	if err != nil {
		return "", nil, err
	}
	cl, err := newClient(c)
	return text, cl, err
}

// argument returns the only argument of a command. The error for another number
// of arguments names what is expected.
func argument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", cli.Exit(fmt.Sprintf("%s: exactly one %s is needed, got %d", c.FullName(), what, c.Args().Len()), usage.ExitCode)
	}
	return c.Args().First(), nil
}
