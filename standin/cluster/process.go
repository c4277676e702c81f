// Package cluster runs a whole deployment as separate processes on loopback:
// the platform, targets and VMs. Tests and measurements use it.
package cluster

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const startTimeout = 20 * time.Second

// Process is one process that the cluster started.
type Process struct {
	Name string
	bin  string
	args []string
	log  string // file for standard error

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start runs the process and waits for the first line of its output.
func (p *Process) start() (firstLine string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stderr, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return "", errors.Wrapf(err, "open log of %s", p.Name)
	}
	defer stderr.Close()
	cmd := exec.Command(p.bin, p.args...)
	cmd.Stderr = stderr
	// A test that is killed must not leave processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return "", errors.Wrapf(err, "open output of %s", p.Name)
	}
	if err := cmd.Start(); err != nil {
		return "", errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	lines := make(chan string, 1)
	go func(done chan struct{}) {
		scanner := bufio.NewScanner(stdout)
		if scanner.Scan() {
			lines <- scanner.Text()
		}
		for scanner.Scan() { // keeps the pipe empty
		}
		p.err = cmd.Wait()
		close(done)
	}(p.done)
	select {
	case line := <-lines:
		return line, nil
	case <-p.done:
		return "", errors.Errorf("%s ended at start: %v\n%s", p.Name, p.err, p.Log())
	case <-time.After(startTimeout):
		_ = cmd.Process.Kill() // it has not become ready
		return "", errors.Errorf("%s did not become ready within %v", p.Name, startTimeout)
	}
}

// Start runs the process again after its end.
func (p *Process) Start() error {
	_, err := p.start()
	return err
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks for a planned stop and waits for the end.
func (p *Process) Terminate(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return errors.Wrapf(p.err, "%s ended", p.Name)
	case <-time.After(timeout):
		return errors.Errorf("%s did not end within %v", p.Name, timeout)
	}
}

// Alive tells whether the process runs; a frozen one does.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Log returns the end of the process's standard error.
func (p *Process) Log() string {
	const most = 4000 // bytes
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	if len(data) > most {
		data = data[len(data)-most:]
	}
	return string(data)
}

// Binaries are the programs that a cluster runs.
type Binaries struct {
	Mangogate    string
	Mangogatectl string
	Standin      string
}

// Build compiles the programs into a directory; the Go build cache makes
// repeats cheap.
func Build(dir string) (Binaries, error) {
	root, err := moduleRoot()
	if err != nil {
		return Binaries{}, err
	}
	cmd := exec.Command("go", "build", "-o", dir+"/", "./cmd/mangogate", "./cmd/mangogatectl", "./standin/cmd/standin")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, errors.Errorf("build programs: %v\n%s", err, out)
	}
	return Binaries{
		Mangogate:    filepath.Join(dir, "mangogate"),
		Mangogatectl: filepath.Join(dir, "mangogatectl"),
		Standin:      filepath.Join(dir, "standin"),
	}, nil
}

// moduleRoot returns the directory of go.work.
func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return "", errors.Wrap(err, "find go.work")
	}
	file := strings.TrimSpace(string(out))
	if file == "" || file == "off" {
		return "", errors.New("no go.work file is in force")
	}
	return filepath.Dir(file), nil
}
