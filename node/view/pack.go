package view

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/pkg/errors"
)

// largeValue is the part of a change that can be large: all routes, or all
// ranges of a service's keys.
type largeValue struct {
	Config *fleet.Config
	Cell   *fleet.Cell
}

// pack moves a large value of a change into its compressed form. A VM that
// passes a change on to all others packs it once.
func pack(c Change) (Change, error) {
	if c.Config == nil && c.Cell == nil {
		return c, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return c, errors.Wrap(err, "compress change")
	}
	if err := gob.NewEncoder(w).Encode(largeValue{c.Config, c.Cell}); err != nil {
		return c, errors.Wrap(err, "encode change")
	}
	if err := w.Close(); err != nil {
		return c, errors.Wrap(err, "compress change")
	}
	c.Config, c.Cell, c.Packed = nil, nil, out.Bytes()
	return c, nil
}

// maxUnpacked bounds the memory that a packed value may take: ten times the
// largest record that the store takes.
const maxUnpacked = 10 * 256 << 10

func unpack(c Change) (Change, error) {
	if c.Packed == nil {
		return c, nil
	}
	var v largeValue
	r := flate.NewReader(bytes.NewReader(c.Packed))
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&v); err != nil {
		return c, errors.Wrap(err, "decode change")
	}
	c.Config, c.Cell, c.Packed = v.Config, v.Cell, nil
	return c, nil
}
