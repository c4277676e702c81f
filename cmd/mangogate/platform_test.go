package main

import (
	"context"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/locality"
	"github.com/stretchr/testify/assert"
	"github.com/urfave/cli/v3"
)

// Guards against a spillover that is enabled without the flag, against a price of 0 that
// counts as no flag, and against a price that cannot be meant.
func TestSpilloverPrice(t *testing.T) {
	for _, test := range []struct {
		args    []string
		want    *locality.Config
		invalid bool
	}{
		{args: nil},
		{args: []string{"--spillover-price", "0"}, want: &locality.Config{}},
		{args: []string{"--spillover-price", "2.5"}, want: &locality.Config{PricePerMB: 2500 * time.Microsecond}},
		{args: []string{"--spillover-price=-1"}, invalid: true},
		{args: []string{"--spillover-price", "NaN"}, invalid: true},
		{args: []string{"--spillover-price", "60001"}, invalid: true},
	} {
		command := platformCommand()
		var got *locality.Config
		command.Action = func(_ context.Context, c *cli.Command) (err error) {
			got, err = spilloverConfig(c)
			return err
		}
		command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
		err := command.Run(context.Background(), append([]string{"platform", "--settings", "unused"}, test.args...))
		assert.Equal(t, test.invalid, err != nil, "%v: %v", test.args, err)
		assert.Equal(t, test.want, got, "%v", test.args)
	}
}
