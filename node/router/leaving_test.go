package router

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/gateway"
	"github.com/mangogate/mangogate/node/upstream"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

type leavingCodec struct{ gateway.HeaderCodec }

func (leavingCodec) Leaving(h http.Header) (bool, error) {
	if v := h.Get("Leaving"); v != "" && v != "1" {
		return false, errors.Errorf("%q", v)
	}
	return h.Get("Leaving") == "1", nil
}

// Guards against an announcement that is lost or credited to another process, and against a log
// that a target with malformed headers fills.
func TestAnnouncementIsPassedOnWithItsProcess(t *testing.T) {
	var log bytes.Buffer
	w := newLeavingWatch(leavingCodec{}, hclog.New(&hclog.LoggerOptions{Output: &log}))
	type announcement struct {
		target, address string
		life            int64
	}
	var announced []announcement
	w.note = func(target, address string, life int64) {
		announced = append(announced, announcement{target, address, life})
	}
	r := upstream.Request{Target: "a", Address: "a:1", Life: 3}
	for _, value := range []string{"", "1", "yes", "0", "1"} {
		w.handleAnswer(r, http.Header{"Leaving": {value}})
	}
	assert.Equal(t, []announcement{{"a", "a:1", 3}, {"a", "a:1", 3}}, announced)
	assert.Equal(t, 1, strings.Count(log.String(), "target=a"), "%s", log.String())
}
