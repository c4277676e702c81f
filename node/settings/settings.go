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

// Settings holds the settings of one VM, as written in its settings file.
type Settings struct {
	VM         string    `json:"vm"`
	DataCentre string    `json:"data_centre"`
	Callers    Callers   `json:"callers"`
	Peers      Peers     `json:"peers"`
	Operators  Operators `json:"operators"`
	Targets    Targets   `json:"targets"`
	Platform   Platform  `json:"platform"`
	// Members is the number of VMs in the deployment's first list of members.
	Members  int      `json:"members"`
	LogLevel string   `json:"log_level"`
	Shutdown Shutdown `json:"shutdown"`
}

// TLS names PEM files of a certificate, its key and a CA. The zero value means
// plain text.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Enabled reports whether any file is named.
func (t TLS) Enabled() bool { return t != TLS{} }

// Callers holds the listener for callers and its limits.
type Callers struct {
	Listen         string `json:"listen"`
	TLS            TLS    `json:"tls"`
	MaxConcurrent  int    `json:"max_concurrent"`   // limit of concurrent requests
	MaxHeaderBytes int    `json:"max_header_bytes"` // limit of the header of a request
}

// Peers holds the listener for other VMs. Its IP address is the source of connections
// to peers, targets and the platform.
type Peers struct {
	Listen string `json:"listen"`
	// KeyFile holds the secret that all VMs of the deployment share.
	KeyFile string `json:"key_file"`
	TLS     TLS    `json:"tls"`
}

// Operators holds the listener for operators and monitoring.
type Operators struct {
	Listen string `json:"listen"`
	// TokenFile holds the bearer token of the operators.
	TokenFile string `json:"token_file"`
	TLS       TLS    `json:"tls"`
}

// Targets holds the settings of connections to targets.
type Targets struct {
	TLS TLS `json:"tls"`
}

// Platform holds the base URL of the platform's services and the timeout of
// calls to them.
type Platform struct {
	URL     string         `json:"url"`
	Timeout jsonc.Duration `json:"timeout"`
}

// Shutdown holds the durations of a graceful shutdown.
type Shutdown struct {
	// LeaveBalancer is how long the VM keeps accepting requests after it reports not
	// ready. It must be long enough for the load balancer to notice.
	LeaveBalancer jsonc.Duration `json:"leave_balancer"`
	// Finish is how long the handover and the requests in flight may take after that.
	Finish jsonc.Duration `json:"finish"`
}

// Defaults returns the values of the settings that the file omits.
func Defaults() Settings {
	return Settings{
		Callers:  Callers{MaxConcurrent: 4096, MaxHeaderBytes: 16 << 10},
		Platform: Platform{Timeout: jsonc.Duration(time.Second)},
		Members:  8,
		LogLevel: "info",
		Shutdown: Shutdown{LeaveBalancer: jsonc.Duration(time.Second), Finish: jsonc.Duration(30 * time.Second)},
	}
}

// Load reads and validates a settings file. If its content is invalid, the error
// is a jsonc.Problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and validates settings in JSON with comments. If they are
// invalid, the error is a jsonc.Problems, in which file names the source.
func Parse(file string, text []byte) (*Settings, error) {
	s := Defaults()
	src, err := jsonc.Decode(file, text, &s)
	if err != nil {
		return nil, err
	}
	v := validator{src: src}
	v.validate(&s)
	if err := v.problems.ErrorOrNil(); err != nil {
		return nil, err
	}
	return &s, nil
}

// validator collects the problems of a settings file.
type validator struct {
	src      *jsonc.Source
	problems jsonc.Problems
}

func (v *validator) fail(field, format string, args ...any) {
	v.problems = append(v.problems, v.src.Problem(field, format, args...))
}

// Bounds of single settings.
const (
	maxMembers     = 99
	maxConcurrent  = 1 << 20
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxDuration    = 10 * time.Minute
)

func (v *validator) validate(s *Settings) {
	v.required("vm", s.VM)
	v.required("data_centre", s.DataCentre)
	v.listeners(s)
	v.secretFile("peers.key_file", s.Peers.KeyFile)
	v.secretFile("operators.token_file", s.Operators.TokenFile)
	v.tls("callers.tls", s.Callers.TLS, true)
	v.tls("peers.tls", s.Peers.TLS, true)
	v.tls("operators.tls", s.Operators.TLS, true)
	v.tls("targets.tls", s.Targets.TLS, false)
	v.between("callers.max_concurrent", s.Callers.MaxConcurrent, 1, maxConcurrent)
	v.between("callers.max_header_bytes", s.Callers.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	v.between("members", s.Members, 1, maxMembers)
	v.duration("platform.timeout", s.Platform.Timeout, 10*time.Millisecond)
	v.duration("shutdown.leave_balancer", s.Shutdown.LeaveBalancer, 0)
	v.duration("shutdown.finish", s.Shutdown.Finish, 0)
	u, err := url.Parse(s.Platform.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.fail("platform.url", "%q is not an http or https URL", s.Platform.URL)
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		v.fail("log_level", "%q is not trace, debug, info, warn or error", s.LogLevel)
	}
}

func (v *validator) required(field, value string) {
	if value == "" {
		v.fail(field, "is required")
	}
}

func (v *validator) between(field string, value, low, high int) {
	if value < low || value > high {
		v.fail(field, "%d is outside %d to %d", value, low, high)
	}
}

func (v *validator) duration(field string, value jsonc.Duration, low time.Duration) {
	if value.Std() < low || value.Std() > maxDuration {
		v.fail(field, "%v is outside %v to %v", value.Std(), low, maxDuration)
	}
}

func (v *validator) listeners(s *Settings) {
	seen := map[string]string{}
	for _, l := range []struct{ field, value string }{
		{"callers.listen", s.Callers.Listen}, {"peers.listen", s.Peers.Listen}, {"operators.listen", s.Operators.Listen},
	} {
		addr, err := netip.ParseAddrPort(l.value)
		if err != nil {
			v.fail(l.field, "%q is not an IP address and port", l.value)
			continue
		}
		if l.field == "peers.listen" && (addr.Addr().IsUnspecified() || addr.Port() == 0) {
			v.fail(l.field, "%q must be the address and port that other VMs reach", l.value)
		}
		if other, exists := seen[l.value]; exists && addr.Port() != 0 {
			v.fail(l.field, "is the address of %s too", other)
		}
		seen[l.value] = l.field
	}
}

func (v *validator) secretFile(field, path string) {
	if path == "" {
		v.fail(field, "is required")
		return
	}
	if _, err := ReadSecret(path); err != nil {
		v.fail(field, "%v", err)
	}
}

func (v *validator) tls(field string, t TLS, server bool) {
	if !t.Enabled() {
		return
	}
	if (t.CertFile == "") != (t.KeyFile == "") {
		v.fail(field, "cert_file and key_file go together")
	}
	if server && t.CertFile == "" {
		v.fail(field+".cert_file", "is required for a listener")
	}
	for _, f := range []struct{ name, path string }{{".cert_file", t.CertFile}, {".key_file", t.KeyFile}, {".ca_file", t.CAFile}} {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			v.fail(field+f.name, "%v", err)
		}
	}
}
