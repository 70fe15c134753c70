package keelpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Config is the configuration of a [Transport].
type Config struct {
	// Listen is the address of the UDP socket; port 0 selects a free port.
	Listen netip.AddrPort
	Keys   *keelkey.Keys
	// Handlers holds the message handlers by kind. [Transport.Register] adds
	// more.
	Handlers map[keel.MessageKind]keel.Handler
	// Streams handles streams that peers open; nil refuses them.
	Streams keel.StreamHandler
	// Log receives reports of ended connections, of messages that were not
	// handled and of panics of handlers; nil means the standard logger.
	Log logrus.FieldLogger
	// Clock is used for everything except QUIC itself; nil means real time.
	Clock clockwork.Clock
	// MaxMessageBytes is the size limit of a message or an answer; 0 means
	// [DefaultMaxMessageBytes].
	MaxMessageBytes int64
	// MaxStreams limits the streams that a peer may have open on a connection;
	// 0 means [DefaultMaxStreams].
	MaxStreams int64
	// Filter reports whether packets to and from an address are allowed; nil
	// allows all.
	Filter func(netip.AddrPort) bool
	// AcceptTCP also accepts calls of a [CallClient], on the TCP port with the number
	// of the UDP port.
	AcceptTCP bool
}

// Defaults and limits of the transport.
const (
	DefaultMaxMessageBytes = 4 << 20
	DefaultMaxStreams      = 4096

	idleTimeout      = 10 * time.Second
	keepAlivePeriod  = 4 * time.Second
	handshakeTimeout = 3 * time.Second

	// datagramBytes is the largest size of a message that is sent as a datagram.
	datagramBytes = 1000

	streamWindowBytes     = 512 << 10
	maxStreamWindowBytes  = 2 << 20
	connWindowBytes       = 1 << 20
	maxConnWindowBytes    = 8 << 20
	maxPendingMessages    = 64
	maxConcurrentMessages = 512
)

// Transport carries messages over QUIC. It implements [keel.Transport].
type Transport struct {
	*handlers
	cfg    Config
	filter *filter
	socket *net.UDPConn
	quic   *quic.Transport
	// calls is nil without Config.AcceptTCP.
	calls *callServer

	ctx          context.Context
	cancel       context.CancelFunc
	messageSlots chan struct{}
	// socketClosed is closed once the socket is closed.
	socketClosed chan struct{}

	mu     sync.Mutex
	closed bool
	pools  map[poolKey]*pool

	// startMu guards the start of goroutines. The lock order is mu, the lock of
	// a pool, startMu.
	startMu  sync.Mutex
	stopping bool
	group    conc.WaitGroup
}

var _ keel.Transport = (*Transport)(nil)

// New opens the socket. Connections are accepted once [Transport.Run] is
// called.
func New(cfg Config) (*Transport, error) {
	if cfg.Keys == nil {
		return nil, errors.New("keys of the transport are not set")
	}
	cfg = withDefaults(cfg)
	socket, listener, err := listen(cfg.Listen, cfg.AcceptTCP)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Listen)
	}
	t := &Transport{
		handlers:     newHandlers(cfg.Handlers, cfg.Streams, cfg.Log),
		cfg:          cfg,
		filter:       newFilter(cfg.Filter),
		socket:       socket,
		messageSlots: make(chan struct{}, maxConcurrentMessages),
		socketClosed: make(chan struct{}),
		pools:        map[poolKey]*pool{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.quic = t.newQUIC(socket)
	if listener != nil {
		t.calls = newCallServer(t, listener)
	}
	return t, nil
}

// maxPortAttempts limits the search for a port number that is free for UDP and TCP.
const maxPortAttempts = 20

// listen opens the UDP socket, and if tcp is set, a listener on the TCP port with the same
// number. If the port is 0, both get a number that is free.
func listen(at netip.AddrPort, tcp bool) (*net.UDPConn, net.Listener, error) {
	for attempt := 1; ; attempt++ {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if err != nil || !tcp {
			return socket, nil, err
		}
		listener, err := net.Listen("tcp", socket.LocalAddr().String())
		if err == nil {
			return socket, listener, nil
		}
		_ = socket.Close()
		if at.Port() != 0 || attempt == maxPortAttempts {
			return nil, nil, err
		}
	}
}

func withDefaults(cfg Config) Config {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if cfg.MaxStreams == 0 {
		cfg.MaxStreams = DefaultMaxStreams
	}
	return cfg
}

// Addr returns the local address of the socket.
func (t *Transport) Addr() netip.AddrPort {
	return unmapped(t.socket.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Block drops every packet to and from the given addresses until
// [Transport.Unblock].
func (t *Transport) Block(addrs ...netip.AddrPort) {
	t.filter.block(addrs, directionSend|directionReceive)
}

// BlockSend drops every packet to the given addresses until
// [Transport.Unblock], but none that arrive from them.
func (t *Transport) BlockSend(addrs ...netip.AddrPort) { t.filter.block(addrs, directionSend) }

// Unblock reverts [Transport.Block] and [Transport.BlockSend] for the given
// addresses, or for all if none are given.
func (t *Transport) Unblock(addrs ...netip.AddrPort) { t.filter.unblock(addrs) }

// Run accepts connections until ctx ends or [Transport.Close] is called. It
// then closes every connection and returns once all handlers have returned and
// the socket is closed. Run can be called only once.
func (t *Transport) Run(ctx context.Context) error {
	listener, err := t.quic.Listen(t.serverTLS(), t.quicConfig())
	if err != nil {
		t.stop()
		return errors.Wrap(err, "accept connections")
	}
	t.start(func() { t.loopAccept(listener) })
	t.start(t.loopWatch)
	if t.calls != nil {
		t.start(t.calls.run)
	}
	select {
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	t.stop()
	return nil
}

// Close stops the transport, which makes Run return. Only Run closes the socket.
func (t *Transport) Close() { t.cancel() }

// Wait returns once Run has stopped the transport and closed its socket.
func (t *Transport) Wait() { <-t.socketClosed }

func (t *Transport) stop() {
	t.startMu.Lock()
	t.stopping = true
	t.startMu.Unlock()
	t.mu.Lock()
	t.closed = true
	pools := t.pools
	t.pools = map[poolKey]*pool{}
	t.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
	t.cancel()
	t.group.Wait()
	_ = t.quic.Close()
	_ = t.socket.Close()
	close(t.socketClosed)
}

// start runs f in a goroutine that stopping waits for. It reports false and
// does nothing if the transport is stopping.
func (t *Transport) start(f func()) bool {
	t.startMu.Lock()
	defer t.startMu.Unlock()
	if t.stopping {
		return false
	}
	t.group.Go(f)
	return true
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
