package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/node/settings"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// callTimeout bounds one HTTP request to a VM.
const callTimeout = 15 * time.Second

// client calls the operators' HTTP interface. It tries the VMs in the order of the
// --vm flags until one answers.
type client struct {
	vms    []string
	token  string
	scheme string
	http   *http.Client
}

func newClient(c *cli.Command) (*client, error) {
	vms := c.StringSlice("vm")
	if len(vms) == 0 {
		return nil, cli.Exit("--vm or MANGOGATE_VM is required: the address of a VM's listener for operators", usage.ExitCode)
	}
	if c.String("token-file") == "" {
		return nil, cli.Exit("--token-file or MANGOGATE_TOKEN_FILE is required", usage.ExitCode)
	}
	token, err := settings.ReadSecret(c.String("token-file"))
	if err != nil {
		return nil, cli.Exit(err.Error(), usage.ExitCode)
	}
	files := settings.TLS{CAFile: c.String("ca-file"), CertFile: c.String("cert-file"), KeyFile: c.String("key-file")}
	config, err := files.ClientConfig()
	if err != nil {
		return nil, cli.Exit(err.Error(), usage.ExitCode)
	}
	cl := &client{vms: vms, token: string(token), scheme: "http", http: &http.Client{Timeout: callTimeout}}
	if config != nil {
		cl.useTLS(config)
	}
	return cl, nil
}

func (c *client) useTLS(config *tls.Config) {
	c.scheme = "https"
	c.http.Transport = &http.Transport{TLSClientConfig: config}
}

// get decodes the JSON answer of the first VM that answers into out. A VM that
// cannot be reached is skipped; an error status is final.
func (c *client) get(ctx context.Context, path string, out any) error {
	_, err := c.getWithHeader(ctx, path, out)
	return err
}

// getWithHeader is like get and also returns the header of the answer.
func (c *client) getWithHeader(ctx context.Context, path string, out any) (http.Header, error) {
	var lastErr error
	for _, vm := range c.vms {
		status, header, body, err := c.do(ctx, http.MethodGet, vm, path, nil)
		if err != nil {
			lastErr = errors.Wrapf(err, "request to VM %s", vm)
			continue
		}
		if status != http.StatusOK {
			return nil, errors.Wrapf(answerError(status, body), "VM %s", vm)
		}
		return header, errors.Wrapf(json.Unmarshal(body, out), "decode answer of VM %s", vm)
	}
	return nil, lastErr
}

// post requests a change. A VM that does not answer the liveness check is skipped. A
// failed request is not retried on another VM, because the change may have been made
// or may still be made.
func (c *client) post(ctx context.Context, path string, in any) (admin.ChangeReply, error) {
	var reply admin.ChangeReply
	data, err := json.Marshal(in)
	if err != nil {
		return reply, err
	}
	var lastErr error
	for _, vm := range c.vms {
		if lastErr = c.reachable(ctx, vm); lastErr != nil {
			continue
		}
		status, _, body, err := c.do(ctx, http.MethodPost, vm, path, data)
		if err != nil {
			return reply, errors.Wrapf(err, "VM %s did not answer; the change may have been made, see `mangogatectl status`", vm)
		}
		if err := json.Unmarshal(body, &reply); err != nil || reply.Result == "" {
			return reply, errors.Wrapf(answerError(status, body), "VM %s", vm)
		}
		return reply, nil
	}
	return reply, lastErr
}

// reachable returns nil if a VM answers its liveness check.
func (c *client) reachable(ctx context.Context, vm string) error {
	_, _, _, err := c.do(ctx, http.MethodGet, vm, "/live", nil)
	return errors.Wrapf(err, "reach VM %s", vm)
}

// do sends one request with the operators' token and reads the whole answer.
func (c *client) do(ctx context.Context, method, vm, path string, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+vm+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

// answerError returns the error that a VM reported in the body of an answer, or the
// status and the body as they are.
func answerError(status int, body []byte) error {
	var p admin.Problem
	if json.Unmarshal(body, &p) == nil && p.Error != "" {
		return errors.New(p.Error)
	}
	return errors.Errorf("status %d: %s", status, bytes.TrimSpace(body))
}

// author returns the user name that is recorded as the author of a change. An
// operator whose later change conflicts with it is told this name.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
