// Package cluster runs a complete deployment for tests and measurements: the
// platform, the targets and the VMs, each as a process on the loopback interface.
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
	Name    string
	bin     string
	args    []string
	logPath string // path of the file that receives standard error

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of cmd.Wait, valid after done is closed
}

// start runs the process and returns the first line of its standard output, which
// the program prints once it listens.
func (p *Process) start() (firstLine string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stderr, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return "", errors.Wrapf(err, "open log of %s", p.Name)
	}
	defer stderr.Close()
	cmd := exec.Command(p.bin, p.args...)
	cmd.Stderr = stderr
	// The kernel kills the child when this process is killed, so that none is left.
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
		for scanner.Scan() { // drain the pipe so that the process never blocks on writing
		}
		p.err = cmd.Wait()
		close(done)
	}(p.done)
	select {
	case line := <-lines:
		return line, nil
	case <-p.done:
		return "", errors.Errorf("%s exited during start: %v\n%s", p.Name, p.err, p.Log())
	case <-time.After(startTimeout):
		_ = cmd.Process.Kill() // the start has failed in any case
		return "", errors.Errorf("%s printed no line within %v of its start", p.Name, startTimeout)
	}
}

// Restart runs the process again. It must have exited.
func (p *Process) Restart() error {
	_, err := p.start()
	return err
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill sends SIGKILL and waits until the process has exited. It returns nil if it
// had exited before.
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

// Suspend stops the process with SIGSTOP until Resume.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a process that Suspend has stopped.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which asks for a graceful shutdown, and waits until
// the process has exited. A nonzero exit status or the timeout is an error.
func (p *Process) Terminate(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return errors.Wrapf(p.err, "%s exited with an error after SIGTERM", p.Name)
	case <-time.After(timeout):
		return errors.Errorf("%s did not exit within %v of SIGTERM", p.Name, timeout)
	}
}

// Alive reports whether the process has not exited. A process stopped by
// Suspend is alive.
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

// Log returns the end of the process's standard error, over all of its starts.
// If the file cannot be read, it returns the text of the error.
func (p *Process) Log() string {
	const maxLogBytes = 4000
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	if len(data) > maxLogBytes {
		data = data[len(data)-maxLogBytes:]
	}
	return string(data)
}

// Binaries holds the paths of the programs that a cluster runs.
type Binaries struct {
	Mangogate    string
	Mangogatectl string
	Standin      string
}

// Build compiles the programs into a directory. Repeated builds are cheap because
// of the Go build cache.
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

// moduleRoot returns the directory that contains go.work.
func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return "", errors.Wrap(err, "find go.work")
	}
	file := strings.TrimSpace(string(out))
	if file == "" || file == "off" {
		return "", errors.New("no go.work file found: GOWORK is empty or off")
	}
	return filepath.Dir(file), nil
}
