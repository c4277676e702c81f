package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

// startCommand starts a command and returns the address on which it listens and a
// function that stops it.
func startCommand(t *testing.T, args ...string) (string, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- command(writer).Run(ctx, append([]string{"standin"}, args...))
		writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	require.NoError(t, err)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	require.True(t, ok, line)
	return address, func() { cancel(); require.NoError(t, <-done) }
}

// Guards against flags that do not reach the stand-ins, a first line of output
// without the address, and commands that do not stop when their context ends.
func TestCommands(t *testing.T) {
	_, stopPlatform := startCommand(t, "platform", "--retain-records", "5")
	ledger := filepath.Join(t.TempDir(), "ledger")
	address, stopTarget := startCommand(t, "target", "--name", "t1", "--key-template", "/fields/{key}/conditions", "--ledger-file", ledger)
	var out strings.Builder
	require.NoError(t, command(&out).Run(context.Background(), []string{"standin", "load", "--entry", address, "--duration", "100ms",
		"--callers", "2", "--read-path", "/fields/{key}/conditions", "--write-path", "/fields/{key}/conditions"}))
	var report loadgen.Report
	require.NoError(t, json.Unmarshal([]byte(out.String()), &report))
	require.Positive(t, report.Served)
	require.Zero(t, report.MismatchTotal)
	stopTarget()
	stopPlatform()
	require.FileExists(t, ledger)
}
