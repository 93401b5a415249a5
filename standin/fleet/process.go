package fleet

import (
	"bufio"
	"errors"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// startTimeout bounds the wait for the line in which a process prints its
// addresses.
const startTimeout = 30 * time.Second

// Process is a child process. Signals are sent to its process id only.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // set before done is closed

	mu          sync.Mutex
	lines       []string
	outputAdded chan struct{} // signalled when lines were added
}

// startProcess starts a program and records the lines that it prints.
func startProcess(name, program string, args ...string) (*Process, error) {
	p := &Process{
		Name:        name,
		cmd:         exec.Command(program, args...),
		done:        make(chan struct{}),
		outputAdded: make(chan struct{}, 1),
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "pipe")
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		_ = reader.Close()
		_ = writer.Close()
		return nil, eris.Wrap(err, name)
	}
	_ = writer.Close()
	go p.read(reader)
	return p, nil
}

// read records the output until it ends and waits for the process.
func (p *Process) read(output io.ReadCloser) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		p.mu.Unlock()
		select {
		case p.outputAdded <- struct{}{}:
		default:
		}
	}
	_ = output.Close()
	p.err = p.cmd.Wait()
	close(p.done)
}

// Output returns what the process has printed so far.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// await waits for the first line that matches and returns it.
func (p *Process) await(match func(line string) bool) (string, error) {
	timeout := time.After(startTimeout)
	for next := 0; ; {
		p.mu.Lock()
		fresh := p.lines[next:]
		next = len(p.lines)
		p.mu.Unlock()
		for _, line := range fresh {
			if match(line) {
				return line, nil
			}
		}
		select {
		case <-p.outputAdded:
		case <-p.done:
			return "", eris.Errorf("%s ended early: %v\n%s", p.Name, p.err, p.Output())
		case <-timeout:
			return "", eris.Errorf("%s did not start in %v\n%s", p.Name, startTimeout, p.Output())
		}
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process, unless it has ended.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return eris.Wrap(err, p.Name)
}

// Wait waits until the process has ended and returns its exit error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return eris.Errorf("%s has not ended in %v", p.Name, timeout)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	if p == nil || p.Ended() {
		return
	}
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}
