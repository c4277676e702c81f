package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// pollInterval is the pause between two requests for the status of the VMs.
const pollInterval = 100 * time.Millisecond

func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: "wait", Value: 10 * time.Second, Usage: "how long to wait until the change is in force on every live VM"}
}

// loadInventory reads and validates the inventory file that is the only argument of a
// command. Its errors carry usage.ExitCode, 2.
func loadInventory(c *cli.Command) (path string, doc *inventory.Document, err error) {
	if path, err = argument(c, "file"); err != nil {
		return "", nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return path, nil, cli.Exit(err.Error(), usage.ExitCode)
	}
	if doc, err = inventory.Parse(path, text); err != nil {
		return path, nil, cli.Exit(err.Error(), usage.ExitCode)
	}
	return path, doc, nil
}

// applyCommand replaces the configuration document by an inventory file.
func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put an inventory file in force", ArgsUsage: "FILE",
		Flags: []cli.Flag{waitFlag(),
			&cli.Uint64Flag{Name: "base", Usage: "document `VERSION` that the file was edited from; by default the one in force now"}},
		Action: apply,
	}
}

// apply is the action of applyCommand. Without --base the change is based on the
// document version in force now.
func apply(ctx context.Context, c *cli.Command) error {
	_, doc, err := loadInventory(c)
	if err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	base := c.Uint64("base")
	if !c.IsSet("base") {
		var config admin.ConfigReply
		if err := cl.get(ctx, "/v1/config", &config); err != nil {
			return err
		}
		base = config.DocumentVersion
	}
	reply, err := cl.post(ctx, "/v1/apply", admin.ApplyRequest{Author: author(), Base: base, Document: *doc})
	if err != nil {
		return err
	}
	return reportAndWait(ctx, c, cl, reply)
}

// drainCommand returns a command with the subcommands out and in, which take a
// data centre, VM or target out of service and back.
func drainCommand(name string, scope control.DrainScope, what string) *cli.Command {
	subcommand := func(direction string, out bool, usage string) *cli.Command {
		return &cli.Command{
			Name: direction, Usage: usage, ArgsUsage: "NAME", Flags: []cli.Flag{waitFlag()},
			Action: func(ctx context.Context, c *cli.Command) error {
				drained, cl, err := argumentAndClient(c, "name")
				if err != nil {
					return err
				}
				reply, err := cl.post(ctx, "/v1/drain", admin.DrainRequest{Author: author(), Scope: scope, Name: drained, Out: out})
				if err != nil {
					return err
				}
				return reportAndWait(ctx, c, cl, reply)
			},
		}
	}
	return &cli.Command{
		Name: name, Usage: "take " + what + " out of service or back in",
		Commands: []*cli.Command{
			subcommand("out", true, "take "+what+" out of service"),
			subcommand("in", false, "bring "+what+" back into service"),
		},
	}
}

// reportAndWait reports the result of a change. If the change was accepted or in force
// already, it waits for at most --wait until all VMs have it in force.
func reportAndWait(ctx context.Context, c *cli.Command, cl *client, reply admin.ChangeReply) error {
	out := c.Root().Writer
	switch reply.Result {
	case admin.ResultLost:
		return cli.Exit(fmt.Sprintf("not applied: version %d by %s was accepted first; look at it with `mangogatectl diff` and apply again",
			reply.Winner, reply.By), exitConflict)
	case admin.ResultInvalid:
		return cli.Exit("not applied: "+reply.Detail, usage.ExitCode)
	case admin.ResultNoChange:
		fmt.Fprintln(out, "no change: this is in force already")
	default:
		fmt.Fprintf(out, "accepted as version %d\n", reply.Version)
	}
	return waitInForce(ctx, out, cl, reply.Version, c.Duration("wait"))
}

// waitInForce polls until every VM has a configuration version in force. After
// wait it fails with exitNotInForce and names the VMs that lack it, or with the
// error of the last poll.
func waitInForce(ctx context.Context, out io.Writer, cl *client, version uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		missing, err := notInForce(ctx, cl, version)
		if err == nil && len(missing) == 0 {
			fmt.Fprintf(out, "version %d is in force on every VM\n", version)
			return nil
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return cli.Exit(fmt.Sprintf("version %d is accepted but not in force on: %s", version, strings.Join(missing, ", ")), exitNotInForce)
		}
		time.Sleep(pollInterval)
	}
}

// notInForce lists the VMs that do not have a configuration version in force, with
// the reasons.
func notInForce(ctx context.Context, cl *client, version uint64) ([]string, error) {
	var s admin.ClusterStatus
	if err := cl.get(ctx, "/v1/status", &s); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	var missing []string
	for _, vm := range s.VMs {
		if !vm.InForce(version) {
			reason := fmt.Sprintf("at version %d", min(vm.ConfigVersion, vm.MapConfigVersion))
			if vm.Error != "" {
				reason = "does not answer"
			}
			missing = append(missing, vm.VM+" ("+reason+")")
		}
	}
	return missing, nil
}
