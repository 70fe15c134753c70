package keelpeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// callDialer opens the connections of a [CallClient] to one address, one at a time. A
// connection that is open only after the call that needed it has timed out is kept for the
// next one. Otherwise calls to a busy instance would repeat its handshakes without end,
// none of which is in time.
type callDialer struct {
	client *CallClient
	to     netip.AddrPort

	mu      sync.Mutex
	dialing *callDial
	// spare is a connection that no call has used, open since spareSince; nil if there is
	// none.
	spare      net.Conn
	spareSince time.Time
}

// callDial is an attempt to open a connection.
type callDial struct {
	dialer *callDialer
	// done is closed once the connection is the dialer's spare one, or err is set.
	done chan struct{}
	err  error
}

// connect returns a connection that no other call uses. It is a
// [fasthttp.DialFuncWithTimeout]. The error is [ErrUnreachable] or [ErrClosed].
func (d *callDialer) connect(_ string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = dialTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		nc, dial := d.takeOrDial()
		if nc != nil {
			return nc, nil
		}
		select {
		case <-dial.done:
			if dial.err != nil {
				return nil, dial.err
			}
		case <-timer.C:
			return nil, errors.Join(ErrUnreachable, context.DeadlineExceeded)
		}
	}
}

// takeOrDial returns the spare connection, or the attempt to open one.
func (d *callDialer) takeOrDial() (net.Conn, *callDial) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if nc := d.spare; nc != nil {
		d.spare = nil
		if time.Since(d.spareSince) < callIdleTimeout {
			return nc, nil
		}
		_ = nc.Close()
	}
	if d.dialing == nil {
		d.dialing = &callDial{dialer: d, done: make(chan struct{})}
		if !d.client.startDial(d.dialing) {
			dial := d.dialing
			d.dialing = nil
			dial.err = ErrClosed
			close(dial.done)
			return nil, dial
		}
	}
	return nil, d.dialing
}

func (x *callDial) run() {
	nc, err := x.dialer.open()
	d := x.dialer
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialing = nil
	if x.err = err; err == nil {
		d.spare, d.spareSince = nc, time.Now()
	}
	close(x.done)
}

// open opens a connection, with its handshake.
func (d *callDialer) open() (net.Conn, error) {
	c := d.client
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	dialer := tls.Dialer{Config: c.cfg.Keys.ClientTLSFor(d.to.Addr())}
	nc, err := dialer.DialContext(ctx, "tcp", d.to.String())
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	return c.track(nc)
}
