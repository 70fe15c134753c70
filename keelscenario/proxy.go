package keelscenario

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxyMode says what a proxy does to connections.
type proxyMode string

// Modes of a proxy.
const (
	// proxyPass passes everything on.
	proxyPass proxyMode = "pass"
	// proxyDelay passes everything on later.
	proxyDelay proxyMode = "delay"
	// proxyReset resets the open connections and those that come.
	proxyReset proxyMode = "reset"
	// proxySilence drops what arrives on the open connections for good, without
	// closing them. New ones work.
	proxySilence proxyMode = "silence"
	// proxyOneWay drops what the instance sends.
	proxyOneWay proxyMode = "oneway"
)

// proxyBufferBytes is the size of what is passed on at once.
const proxyBufferBytes = 32 << 10

// proxy is a TCP proxy on loopback before the caller port of an instance.
type proxy struct {
	ln net.Listener
	to netip.AddrPort

	mu    sync.Mutex
	mode  proxyMode
	delay time.Duration
	pairs map[*proxyPair]bool
}

// proxyPair is a connection through a proxy.
type proxyPair struct {
	proxy         *proxy
	caller, above net.Conn
	silent        bool
}

// cmdProxy starts a proxy before an instance. Loads name it in at=.
func cmdProxy(c *cluster, args []string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.check(err)
	p := &proxy{ln: ln, to: c.instance(args[1]).listen.Caller, mode: proxyPass, pairs: map[*proxyPair]bool{}}
	c.proxies[args[0]] = p
	c.group.Go(func() { p.run(c) })
}

// cmdDegrade changes what a proxy does.
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

// run takes connections until the script ends.
func (p *proxy) run(c *cluster) {
	stop := context.AfterFunc(c.ctx, p.close)
	defer stop()
	for {
		caller, err := p.ln.Accept()
		if err != nil {
			return // closed at the end of the script
		}
		c.group.Go(func() { p.runPair(c, caller) })
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

func (p *proxy) runPair(c *cluster, caller net.Conn) {
	above, err := net.DialTimeout("tcp", p.to.String(), WaitLimit)
	if err != nil {
		(&proxyPair{caller: caller}).reset() // as if the instance had refused it
		return
	}
	pair := &proxyPair{proxy: p, caller: caller, above: above}
	p.mu.Lock()
	p.pairs[pair] = true
	if p.mode == proxyReset || c.ctx.Err() != nil {
		pair.reset()
	}
	p.mu.Unlock()
	c.group.Go(func() { pair.loop(caller, above, false) })
	pair.loop(above, caller, true)
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// reset ends both connections with a reset.
func (pair *proxyPair) reset() {
	for _, conn := range []net.Conn{pair.caller, pair.above} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// loop passes on what one side sends. An end on one side ends the other.
func (pair *proxyPair) loop(from, to net.Conn, back bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && pair.passes(back) {
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

// passes reports whether what arrived is passed on, after the delay of the
// present mode.
func (pair *proxyPair) passes(back bool) bool {
	p := pair.proxy
	p.mu.Lock()
	mode, delay, silent := p.mode, p.delay, pair.silent
	p.mu.Unlock()
	if mode == proxyDelay {
		time.Sleep(delay)
	}
	return !silent && (mode != proxyOneWay || !back)
}
