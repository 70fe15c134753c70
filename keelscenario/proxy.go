package keelscenario

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxyMode is how a proxy treats its connections.
type proxyMode string

// Modes of a proxy.
const (
	// proxyPass forwards everything.
	proxyPass proxyMode = "pass"
	// proxyDelay forwards everything after a delay.
	proxyDelay proxyMode = "delay"
	// proxyReset resets open and new connections.
	proxyReset proxyMode = "reset"
	// proxySilence drops all further data on the connections that are open when
	// the mode is set, in all later modes too, without closing them. New
	// connections work.
	proxySilence proxyMode = "silence"
	// proxyOneWay drops what the instance sends and forwards what callers send.
	proxyOneWay proxyMode = "oneway"
)

// proxyBufferBytes is the size of the buffer for each direction of a connection.
const proxyBufferBytes = 32 << 10

// proxy is a TCP proxy on loopback in front of the caller port of an instance.
type proxy struct {
	ln     net.Listener
	target netip.AddrPort

	mu    sync.Mutex
	mode  proxyMode
	delay time.Duration
	pairs map[*proxyPair]bool
}

// proxyPair is a connection of a caller and the connection to the instance that
// it is forwarded to.
type proxyPair struct {
	proxy            *proxy
	caller, upstream net.Conn
	silent           bool
}

// cmdProxy starts a proxy in front of an instance. A load sends through it with
// the option at=.
func cmdProxy(c *cluster, args []string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.check(err)
	p := &proxy{ln: ln, target: c.instance(args[1]).listen.Caller, mode: proxyPass, pairs: map[*proxyPair]bool{}}
	c.proxies[args[0]] = p
	c.group.Go(func() { p.run(c) })
}

// cmdDegrade sets the mode of a proxy.
func cmdDegrade(c *cluster, args []string) {
	p := c.proxies[args[0]]
	if p == nil {
		c.fatalf("proxy %q was not started", args[0])
	}
	var delay time.Duration
	if len(args) > 2 {
		delay = c.duration(args[2])
	}
	switch m := proxyMode(args[1]); m {
	case proxyPass, proxyDelay, proxyReset, proxySilence, proxyOneWay:
		p.set(m, delay)
	default:
		c.fatalf("proxy has no mode %q", m)
	}
}

func (p *proxy) addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) set(m proxyMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
	for pair := range p.pairs {
		switch m {
		case proxyReset:
			pair.reset()
		case proxySilence:
			pair.silent = true
		case proxyPass, proxyDelay, proxyOneWay:
		}
	}
}

// run accepts connections until the script ends.
func (p *proxy) run(c *cluster) {
	stop := context.AfterFunc(c.ctx, p.close)
	defer stop()
	for {
		caller, err := p.ln.Accept()
		if err != nil {
			return // closed at the end of the script
		}
		c.group.Go(func() { p.serveConn(c, caller) })
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.reset()
	}
}

func (p *proxy) serveConn(c *cluster, caller net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.target.String(), WaitLimit)
	if err != nil {
		(&proxyPair{caller: caller}).reset() // as if the instance had refused the connection
		return
	}
	pair := &proxyPair{proxy: p, caller: caller, upstream: upstream}
	p.mu.Lock()
	p.pairs[pair] = true
	if p.mode == proxyReset || c.ctx.Err() != nil {
		pair.reset()
	}
	p.mu.Unlock()
	c.group.Go(func() { pair.forward(caller, upstream, false) })
	pair.forward(upstream, caller, true)
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// reset closes both connections with a TCP reset.
func (pair *proxyPair) reset() {
	for _, conn := range []net.Conn{pair.caller, pair.upstream} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// forward copies data from one connection to the other according to the mode,
// and closes both when one ends.
func (pair *proxyPair) forward(from, to net.Conn, fromUpstream bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && pair.allowAfterDelay(fromUpstream) {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// allowAfterDelay waits for the delay of the current mode and reports whether
// data of this direction is forwarded.
func (pair *proxyPair) allowAfterDelay(fromUpstream bool) bool {
	p := pair.proxy
	p.mu.Lock()
	mode, delay, silent := p.mode, p.delay, pair.silent
	p.mu.Unlock()
	if mode == proxyDelay {
		time.Sleep(delay)
	}
	return !silent && (mode != proxyOneWay || !fromUpstream)
}
