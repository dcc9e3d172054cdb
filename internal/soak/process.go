package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
)

const (
	// restartPause is how long an ended process is down.
	restartPause = 300 * time.Millisecond
	// stopBound bounds a graceful stop in the gateways' settings.
	stopBound = 8 * time.Second
)

// process is a gateway or sidecar process. It is restarted whenever it ends, until close.
type process struct {
	role     string
	box      graniteknot.BoxName
	requests graniteknot.Address
	proxy    *proxy
	binary   string
	settings string
	readers  int
	// extra are more lines of the settings' first section.
	extra string
	log   *os.File
	group group.Group

	mu      sync.Mutex
	command *exec.Cmd
	closed  bool
	// unstableUntil is the end of the last unplanned fault of the process. Responses missing until
	// shortly after it violate no guarantee.
	unstableUntil time.Time
	// storeLostUntil is the time from which the process can read the store again.
	storeLostUntil time.Time
	// ended holds when the process was signalled to end.
	ended []time.Time
	// killed holds when it was killed.
	killed []time.Time
	// suspended reports whether the process is stopped by SIGSTOP; resumed holds when it was
	// continued.
	suspended bool
	resumed   []time.Time
}

func newProcess(ctx context.Context, o *Options, ip string, store graniteknot.Address) (*process, error) {
	way, err := newProxy(ctx, store)
	if err != nil {
		return nil, err
	}
	p := &process{
		role: "gateway", box: graniteknot.BoxName(ip), requests: graniteknot.Address(ip + ":18001"), proxy: way, binary: o.Binary,
		settings: filepath.Join(o.Dir, ip+".ini"), readers: o.Readers,
	}
	if o.Endless {
		p.extra = fmt.Sprintf("memory_mb = %d\n", gatewayMemory>>20)
	}
	if err := p.write(0); err != nil {
		return nil, err
	}
	return p, p.start(o.Dir)
}

// start opens the log and starts the process.
func (p *process) start(dir string) error {
	var err error
	if p.log, err = os.Create(filepath.Join(dir, string(p.box)+".log")); err != nil {
		return err
	}
	p.unstableUntil = time.Now().Add(startTime)
	p.group.Go(p.run)
	return nil
}

// write writes the settings; each reload changes answer_life.
func (p *process) write(reloads int) error {
	text := fmt.Sprintf(`[process]
role = gateway
box = %[1]s
zone = z
stop_bound = %[2]s
%[8]s[listen]
requests = %[1]s:18001
readiness = %[1]s:18002
directory = %[1]s:18003
peers = %[1]s:18004
[store]
address = %[3]s
readers = %[7]d
[bounds]
key_age = %[4]s
drain = %[5]s
answer_life = %[6]ds
[retries]
share = 0.2
extra = 90
`, p.box, stopBound, p.proxy.address(), keyAge, drainTime, 2+reloads%3, p.readers, p.extra)
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// run restarts the process until ctx is done.
func (p *process) run(ctx context.Context) {
	// The kernel ends the process with the thread that started it, so that none is left behind if the
	// test is killed.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for ctx.Err() == nil {
		command := exec.CommandContext(ctx, p.binary, p.role, "--config", p.settings) //nolint:gosec // The program is the caller's own.
		command.Stdout, command.Stderr = p.log, p.log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		err := command.Start()
		p.command = command
		p.mu.Unlock()
		if err == nil {
			// Its log says how it ended; killed processes return an error.
			_ = command.Wait()
		}
		time.Sleep(restartPause)
	}
}

// signal sends a signal to the process if it runs. A fault makes the process unstable for a time,
// unless it is a planned action.
func (p *process) signal(s syscall.Signal, unstable time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unstable > 0 {
		p.extendUnstable(time.Now().Add(unstable))
	}
	p.noteEnd(s)
	if s == syscall.SIGCONT {
		p.resumed = append(p.resumed, time.Now())
	}
	p.suspended = s == syscall.SIGSTOP || p.suspended && s != syscall.SIGCONT
	if p.command != nil && p.command.Process != nil {
		// A process that has just ended is restarted anyway.
		_ = p.command.Process.Signal(s)
	}
}

// extendUnstable marks the process as unstable until a time. The caller holds the lock.
func (p *process) extendUnstable(at time.Time) {
	if at.After(p.unstableUntil) {
		p.unstableUntil = at
	}
}

// stable reports whether no unplanned fault affected the process since a time.
func (p *process) stable(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.suspended && p.unstableUntil.Before(since)
}

// noteStoreLoss records that the process can't read the store for a time.
func (p *process) noteStoreLoss(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := time.Now().Add(d); at.After(p.storeLostUntil) {
		p.storeLostUntil = at
	}
}

// couldReadStore reports whether the process could read the store without interruption since a time.
func (p *process) couldReadStore(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeLostUntil.Before(since)
}

func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT, 0)
	p.group.Stop()
	p.proxy.close()
	_ = p.log.Close()
}
