package view

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/pkg/errors"
)

// largeValue holds the fields of a Change that can be large: the configuration with all
// routes, or the record of a cell with all key ranges. Change.Packed is its compressed
// gob encoding.
type largeValue struct {
	Config *fleet.Config
	Cell   *fleet.Cell
}

// pack returns the change with its large value, if it has one, compressed into Packed.
// Each entry caches the result, so that a change for all other VMs is compressed once.
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

// maxUnpackedBytes bounds the decompressed size of a packed value to ten times the
// 256 KiB that the store accepts as a record.
const maxUnpackedBytes = 10 * 256 << 10

// unpack reverses pack.
func unpack(c Change) (Change, error) {
	if c.Packed == nil {
		return c, nil
	}
	var v largeValue
	r := flate.NewReader(bytes.NewReader(c.Packed))
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(&v); err != nil {
		return c, errors.Wrap(err, "decode change")
	}
	c.Config, c.Cell, c.Packed = v.Config, v.Cell, nil
	return c, nil
}
