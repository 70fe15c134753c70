package keelscenario

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"syscall"
)

// process is a running or ended process of the program under test.
type process struct {
	cmd     *exec.Cmd
	logFile string
	done    chan struct{} // closed when the process has exited
	err     error         // set before done is closed
}

// startProcess starts the program and appends its output to a log file.
func (c *cluster) startProcess(logFile string, args ...string) *process {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.check(err)
	p := &process{cmd: exec.Command(c.program, args...), logFile: logFile, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	c.check(p.cmd.Start())
	_ = log.Close()
	c.group.Go(p.run)
	return p
}

func (p *process) run() {
	p.err = p.cmd.Wait()
	close(p.done)
}

func (p *process) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL to the process, if it is running, and waits for its exit.
func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// exit waits until the process has exited and returns its error.
func (p *process) exit() error {
	<-p.done
	return p.err
}

// tail returns the end of the process's log, or the start of the last panic in
// it.
func (p *process) tail() string {
	const tailBytes = 2000
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	if i := bytes.LastIndex(data, []byte("\npanic: ")); i >= 0 {
		return string(data[i:min(len(data), i+tailBytes)])
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// waitForAddresses waits until a starting process has written its address file,
// and decodes the file into addresses.
func (c *cluster) waitForAddresses(p *process, addressFile string, addresses any) {
	c.until("start of "+p.cmd.String(), func() (bool, string) {
		data, err := os.ReadFile(addressFile)
		if err == nil {
			c.check(json.Unmarshal(data, addresses))
			return true, ""
		}
		if !p.running() {
			c.fatalf("%s exited before it wrote its addresses: %v\n%s", p.cmd, p.err, p.tail())
		}
		return false, p.tail()
	})
}
