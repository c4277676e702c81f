// Package settings reads and validates the settings file of one VM.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/mangogate/mangogate/core/jsonc"
	"github.com/pkg/errors"
)

// Settings are the settings of one VM.
type Settings struct {
	VM         string    `json:"vm"`
	DataCentre string    `json:"data_centre"`
	Callers    Callers   `json:"callers"`
	Peers      Peers     `json:"peers"`
	Operators  Operators `json:"operators"`
	Targets    Targets   `json:"targets"`
	Platform   Platform  `json:"platform"`
	// Members is the number of VMs that the first members record lists.
	Members  int      `json:"members"`
	LogLevel string   `json:"log_level"`
	Shutdown Shutdown `json:"shutdown"`
}

// TLS names certificate files. An empty value means plain text.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Enabled tells whether any file is named.
func (t TLS) Enabled() bool { return t != TLS{} }

// Callers holds the listener for callers and its limits.
type Callers struct {
	Listen         string `json:"listen"`
	TLS            TLS    `json:"tls"`
	MaxConcurrent  int    `json:"max_concurrent"`   // requests
	MaxHeaderBytes int    `json:"max_header_bytes"` // bytes
}

// Peers holds the listener for other VMs. Connections to peers, targets and the
// platform come from its IP address, unless it is on all interfaces.
type Peers struct {
	Listen string `json:"listen"`
	// KeyFile holds the secret that all VMs of the deployment share.
	KeyFile string `json:"key_file"`
	TLS     TLS    `json:"tls"`
}

// Operators holds the listener for operators and monitoring.
type Operators struct {
	Listen string `json:"listen"`
	// TokenFile holds the bearer token that changes need.
	TokenFile string `json:"token_file"`
	TLS       TLS    `json:"tls"`
}

// Targets holds how targets are reached.
type Targets struct {
	TLS TLS `json:"tls"`
}

// Platform says where the platform's services are.
type Platform struct {
	URL     string         `json:"url"`
	Timeout jsonc.Duration `json:"timeout"`
}

// Shutdown holds the waits of a planned stop.
type Shutdown struct {
	// LeaveBalancer is how long the load balancer may take to notice that
	// the VM is not ready.
	LeaveBalancer jsonc.Duration `json:"leave_balancer"`
	// Finish is how long requests in flight may take.
	Finish jsonc.Duration `json:"finish"`
}

// Defaults returns the settings that apply where the file says nothing.
func Defaults() Settings {
	return Settings{
		Callers:  Callers{MaxConcurrent: 4096, MaxHeaderBytes: 16 << 10},
		Platform: Platform{Timeout: jsonc.Duration(time.Second)},
		Members:  8,
		LogLevel: "info",
		Shutdown: Shutdown{LeaveBalancer: jsonc.Duration(time.Second), Finish: jsonc.Duration(30 * time.Second)},
	}
}

// Load reads a settings file. The error is jsonc.Problems for faults in its content.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse reads settings from JSON with comments.
func Parse(file string, text []byte) (*Settings, error) {
	s := Defaults()
	src, err := jsonc.Decode(file, text, &s)
	if err != nil {
		return nil, err
	}
	c := check{src: src}
	c.validate(&s)
	if err := c.problems.ErrorOrNil(); err != nil {
		return nil, err
	}
	return &s, nil
}

type check struct {
	src      *jsonc.Source
	problems jsonc.Problems
}

func (c *check) fail(field, format string, args ...any) {
	c.problems = append(c.problems, c.src.Problem(field, format, args...))
}

// Limits of single settings.
const (
	maxMembers     = 99
	maxConcurrent  = 1 << 20
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxWait        = 10 * time.Minute
)

func (c *check) validate(s *Settings) {
	c.name("vm", s.VM)
	c.name("data_centre", s.DataCentre)
	c.listeners(s)
	c.secretFile("peers.key_file", s.Peers.KeyFile)
	c.secretFile("operators.token_file", s.Operators.TokenFile)
	c.tls("callers.tls", s.Callers.TLS, true)
	c.tls("peers.tls", s.Peers.TLS, true)
	c.tls("operators.tls", s.Operators.TLS, true)
	c.tls("targets.tls", s.Targets.TLS, false)
	c.between("callers.max_concurrent", s.Callers.MaxConcurrent, 1, maxConcurrent)
	c.between("callers.max_header_bytes", s.Callers.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.between("members", s.Members, 1, maxMembers)
	c.duration("platform.timeout", s.Platform.Timeout, 10*time.Millisecond)
	c.duration("shutdown.leave_balancer", s.Shutdown.LeaveBalancer, 0)
	c.duration("shutdown.finish", s.Shutdown.Finish, 0)
	u, err := url.Parse(s.Platform.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail("platform.url", "%q is not an http or https URL", s.Platform.URL)
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		c.fail("log_level", "%q is not trace, debug, info, warn or error", s.LogLevel)
	}
}

func (c *check) name(field, value string) {
	if value == "" {
		c.fail(field, "is required")
	}
}

func (c *check) between(field string, value, low, high int) {
	if value < low || value > high {
		c.fail(field, "%d is outside %d to %d", value, low, high)
	}
}

func (c *check) duration(field string, value jsonc.Duration, low time.Duration) {
	if value.Std() < low || value.Std() > maxWait {
		c.fail(field, "%v is outside %v to %v", value.Std(), low, maxWait)
	}
}

func (c *check) listeners(s *Settings) {
	seen := map[string]string{}
	for _, l := range []struct{ field, value string }{
		{"callers.listen", s.Callers.Listen}, {"peers.listen", s.Peers.Listen}, {"operators.listen", s.Operators.Listen},
	} {
		addr, err := netip.ParseAddrPort(l.value)
		if err != nil {
			c.fail(l.field, "%q is not an IP address and port", l.value)
			continue
		}
		if l.field == "peers.listen" && (addr.Addr().IsUnspecified() || addr.Port() == 0) {
			c.fail(l.field, "%q must be the address and port that other VMs reach", l.value)
		}
		if other, twice := seen[l.value]; twice && addr.Port() != 0 {
			c.fail(l.field, "is the address of %s too", other)
		}
		seen[l.value] = l.field
	}
}

func (c *check) secretFile(field, path string) {
	if path == "" {
		c.fail(field, "is required")
		return
	}
	if _, err := ReadSecret(path); err != nil {
		c.fail(field, "%v", err)
	}
}

func (c *check) tls(field string, t TLS, server bool) {
	if !t.Enabled() {
		return
	}
	if (t.CertFile == "") != (t.KeyFile == "") {
		c.fail(field, "cert_file and key_file go together")
	}
	if server && t.CertFile == "" {
		c.fail(field+".cert_file", "is required for a listener")
	}
	for _, f := range []struct{ name, path string }{{".cert_file", t.CertFile}, {".key_file", t.KeyFile}, {".ca_file", t.CAFile}} {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			c.fail(field+f.name, "%v", err)
		}
	}
}
