package keelpeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// maxHandshakes limits the handshakes that are computed at the same time, so that
	// the rest of the process, such as the agreement of voters, waits for two of them at
	// most. A handshake takes about a millisecond of a small instance's processor.
	maxHandshakes = 2
	// maxWaitingHandshakes limits those that wait for their turn. More would wait longer
	// than their clients do.
	maxWaitingHandshakes = 128
)

// errHandshakeRefused ends a handshake whose client should connect to another instance.
var errHandshakeRefused = errors.New("too many handshakes are waiting")

// handshakeGate limits the handshakes of a server, for when many instances start at once
// and connect to a few: handshakes beyond what the processor can do would delay all others
// until every one of them has timed out. A turn is taken when the first message of a
// handshake has arrived and given back when the answer to it is written, so that no client
// can hold it.
type handshakeGate struct {
	ctx     context.Context
	turns   chan struct{}
	waiting atomic.Int64
}

func newHandshakeGate(ctx context.Context) *handshakeGate {
	return &handshakeGate{ctx: ctx, turns: make(chan struct{}, maxHandshakes)}
}

// listen returns a listener whose connections do their handshakes through the gate.
func (g *handshakeGate) listen(ln net.Listener, cfg *tls.Config) net.Listener {
	cfg = cfg.Clone()
	cfg.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		conn, ok := hello.Conn.(*gatedConn)
		if !ok {
			return nil, errors.Errorf("connection of type %T was not accepted by the gate", hello.Conn)
		}
		return nil, g.enter(conn)
	}
	return tls.NewListener(&gatedListener{Listener: AcceptRetrier{ln}, gate: g}, cfg)
}

// enter waits for the turn of a connection.
func (g *handshakeGate) enter(conn *gatedConn) error {
	defer g.waiting.Add(-1)
	if g.waiting.Add(1) > maxWaitingHandshakes {
		return errHandshakeRefused
	}
	select {
	case g.turns <- struct{}{}:
		conn.holdsTurn.Store(true)
		return nil
	case <-g.ctx.Done():
		return g.ctx.Err()
	}
}

// gatedListener accepts connections for a [handshakeGate].
type gatedListener struct {
	net.Listener
	gate *handshakeGate
}

// Accept waits for the next connection.
func (l *gatedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: nc, gate: l.gate}, nil
}

// gatedConn is the connection below TLS. It gives its turn back with the first write after
// it was taken, or when it is closed.
type gatedConn struct {
	net.Conn
	gate      *handshakeGate
	holdsTurn atomic.Bool
	closeOnce sync.Once
	closeErr  error
}

func (c *gatedConn) leave() {
	if c.holdsTurn.CompareAndSwap(true, false) {
		<-c.gate.turns
	}
}

// Write writes to the connection.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.leave()
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.leave()
	})
	return c.closeErr
}
