package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/urfave/cli/v3"
)

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every VM, what is out of service, and what has no owner", Flags: []cli.Flag{jsonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			var s admin.ClusterStatus
			if err := cl.get(ctx, "/v1/status", &s); err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c, s)
			}
			return printStatus(c, s)
		},
	}
}

func printStatus(c *cli.Command, s admin.ClusterStatus) error {
	out := c.Root().Writer
	fmt.Fprintf(out, "deployment %s, document version %d, configuration version %d, shards without owner %d\n",
		s.Deployment, s.Document, s.ConfigVersion, s.Unassigned)
	for _, d := range s.Drains {
		fmt.Fprintf(out, "out of service: %s %s (version %d by %s)\n", d.Scope, d.Name, d.Version, d.Author)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tDATA CENTRE\tREADY\tTERM\tMANAGER\tCONFIG\tMAP CONFIG\tLOG LAG\tDISPATCHES")
	for _, vm := range s.VMs {
		if vm.Error != "" {
			fmt.Fprintf(w, "%s\t-\tno answer: %s\n", vm.VM, vm.Error)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%d\t%v\t%d\n", vm.VM, vm.DataCentre, vm.Ready, vm.Term, vm.Manager,
			vm.ConfigVersion, vm.MapConfigVersion, time.Duration(vm.LogLagMS)*time.Millisecond, len(vm.Dispatches))
	}
	return w.Flush()
}

func ownerCommand() *cli.Command {
	return &cli.Command{
		Name: "owner", Usage: "show which target owns a key", ArgsUsage: "KEY",
		Flags: []cli.Flag{jsonFlag(), &cli.StringFlag{Name: "service", Usage: "`NAME` of the service; by default all with key ownership"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			key, cl, err := argumentAndClient(c, "key")
			if err != nil {
				return err
			}
			var owners []admin.OwnerReply
			query := url.Values{"key": {key}, "service": {c.String("service")}}
			if err := cl.get(ctx, "/v1/owner?"+query.Encode(), &owners); err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c, owners)
			}
			w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "SERVICE\tSHARD\tOWNER\tFENCE\tSTANDBYS\tDISPATCHER")
			for _, o := range owners {
				fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\t%s\n", o.Service, o.Shard, orNone(o.Owner), o.Fence, strings.Join(o.Standbys, " "), orNone(o.Dispatcher))
			}
			return w.Flush()
		},
	}
}

func orNone(name string) string {
	if name == "" {
		return "(none now)"
	}
	return name
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "show the events of all VMs in causal order",
		Flags: []cli.Flag{jsonFlag(),
			&cli.StringFlag{Name: "only-vm", Usage: "`NAME` of a VM"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of a service"},
			&cli.StringFlag{Name: "key", Usage: "`KEY` whose shards to show"},
			&cli.IntFlag{Name: "shard", Value: -1, Usage: "`NUMBER` of a shard"},
			&cli.DurationFlag{Name: "since", Usage: "only events of the last `DURATION`"},
		},
		Action: showTimeline,
	}
}

// showTimeline is the action of timelineCommand. It warns about VMs whose events are
// missing.
func showTimeline(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var events []timeline.Event
	header, err := cl.getWithHeader(ctx, "/events?all=1", &events)
	if err != nil {
		return err
	}
	if missing := header.Get(admin.HeaderMissing); missing != "" {
		fmt.Fprintf(c.Root().ErrWriter, "these VMs did not answer, so their events are missing: %s\n", missing)
	}
	keep, err := eventFilter(ctx, c, cl)
	if err != nil {
		return err
	}
	events = slices.DeleteFunc(events, func(e timeline.Event) bool { return !keep(e) })
	if c.Bool("json") {
		return printJSON(c, events)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	for _, e := range events {
		fmt.Fprintln(w, eventLine(e))
	}
	return w.Flush()
}

// eventLine formats an event as tab-separated columns.
func eventLine(e timeline.Event) string {
	subject := []string{}
	if e.Term > 0 {
		subject = append(subject, fmt.Sprintf("term %d", e.Term))
	}
	if e.Shard != nil {
		subject = append(subject, fmt.Sprintf("shard %s/%d", e.Service, *e.Shard))
	}
	if e.Group != "" {
		subject = append(subject, "group "+e.Group)
	}
	if e.Target != "" {
		subject = append(subject, "target "+e.Target)
	}
	if e.Detail != "" {
		subject = append(subject, e.Detail)
	}
	at := time.UnixMicro(e.Stamp.WallUS).UTC().Format("15:04:05.000000")
	return fmt.Sprintf("%s\t%s\t%s\t%s", at, e.VM, e.Kind, strings.Join(subject, ", "))
}

// eventFilter returns a function that reports whether an event matches the flags.
// Events without a shard match --key, because they may concern all shards, but do
// not match --shard.
func eventFilter(ctx context.Context, c *cli.Command, cl *client) (func(timeline.Event) bool, error) {
	shards := map[string]int{} // shard of the key of --key, by service
	if key := c.String("key"); key != "" {
		var config admin.ConfigReply
		if err := cl.get(ctx, "/v1/config", &config); err != nil {
			return nil, err
		}
		shards = shardsOf(config.Document, key)
	}
	since := time.Now().Add(-c.Duration("since")).UnixMicro()
	return func(e timeline.Event) bool {
		switch {
		case c.String("only-vm") != "" && e.VM != c.String("only-vm"),
			c.String("service") != "" && e.Service != c.String("service"),
			c.Int("shard") >= 0 && (e.Shard == nil || *e.Shard != c.Int("shard")),
			c.Duration("since") > 0 && e.Stamp.WallUS < since:
			return false
		}
		if len(shards) > 0 && e.Shard != nil {
			shard, ok := shards[e.Service]
			return ok && shard == *e.Shard
		}
		return true
	}, nil
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what applying a file would change", ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			_, doc, err := loadInventory(c)
			if err != nil {
				return err
			}
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			var config admin.ConfigReply
			if err := cl.get(ctx, "/v1/config", &config); err != nil {
				return err
			}
			lines := diff(config.Document, *doc)
			if len(lines) == 0 {
				fmt.Fprintln(c.Root().Writer, "no difference")
			}
			for _, l := range lines {
				fmt.Fprintln(c.Root().Writer, l)
			}
			return nil
		},
	}
}

// diff returns a line for each difference between two documents. It begins with +
// for an added, - for a removed and ~ for a changed item.
func diff(old, next inventory.Document) []string {
	var lines []string
	if old.Deployment != next.Deployment {
		lines = append(lines, fmt.Sprintf("~ deployment %q -> %q", old.Deployment, next.Deployment))
	}
	lines = append(lines, diffList("data centre", old.DataCentres, next.DataCentres, func(d inventory.DataCentre) string { return d.Name })...)
	lines = append(lines, diffList("service", old.Services, next.Services, func(s inventory.Service) string { return s.Name })...)
	lines = append(lines, diffList("target", old.Targets, next.Targets, func(t inventory.Target) string { return t.Name })...)
	return append(lines, diffList("rule", old.Rules, next.Rules, func(r inventory.Rule) string { return r.PathPrefix })...)
}

// diffList compares two lists by the names of their items.
func diffList[T any](kind string, old, next []T, name func(T) string) []string {
	before, after := map[string]string{}, map[string]string{}
	for _, o := range old {
		before[name(o)] = jsonLine(o)
	}
	for _, n := range next {
		after[name(n)] = jsonLine(n)
	}
	var lines []string
	for key, text := range before {
		if now, kept := after[key]; !kept {
			lines = append(lines, fmt.Sprintf("- %s %s %s", kind, key, text))
		} else if now != text {
			lines = append(lines, fmt.Sprintf("~ %s %s %s -> %s", kind, key, text, now))
		}
	}
	for key, text := range after {
		if _, known := before[key]; !known {
			lines = append(lines, fmt.Sprintf("+ %s %s %s", kind, key, text))
		}
	}
	slices.Sort(lines)
	return lines
}

func jsonLine(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
