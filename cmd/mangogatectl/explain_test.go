package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an incomplete or wrongly ordered list of decisions. The lines
// about a request are spread over the log of the VM that received it and that of
// the leader that admitted or refused it; log collectors may prefix each line with
// a timestamp; lines of other programs and requests must be ignored.
func TestExplainMergesLogsByTime(t *testing.T) {
	dir := t.TempDir()
	entry, leader := filepath.Join(dir, "entry"), filepath.Join(dir, "leader")
	require.NoError(t, os.WriteFile(entry, []byte(
		`  4.1 vm-1 {"@message":"request ended","@module":"vm-1.gateway","@timestamp":"2026-01-01T00:00:02Z","request":"r1","outcome":"refused: overload"}`+"\n"+
			`not json r1`+"\n"), 0o600))
	require.NoError(t, os.WriteFile(leader, []byte(
		`{"@message":"slot refused","@module":"vm-2.cell","@timestamp":"2026-01-01T00:00:01Z","request":"r1","waiting":7,"target":""}`+"\n"+
			`{"@message":"slot refused","@module":"vm-2.cell","@timestamp":"2026-01-01T00:00:01Z","request":"r11"}`+"\n"), 0o600))
	var out bytes.Buffer
	require.NoError(t, explainFiles(&out, "r1", []string{entry, leader}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	assert.Contains(t, lines[0], "waiting=7")
	assert.Contains(t, lines[1], "outcome=refused: overload")
	assert.ErrorContains(t, explainFiles(&out, "r9", []string{entry}), "no line about request")
}
