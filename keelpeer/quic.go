package keelpeer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"net"

	"github.com/quic-go/quic-go"
)

// class is the purpose of a connection. It is negotiated as the application
// protocol of TLS (ALPN).
type class string

const (
	classMessages class = "keel-messages/1"
	classStreams  class = "keel-streams/1"
)

// Error codes of closed connections and streams.
const (
	codeClosing   quic.ApplicationErrorCode = 1
	codeRetired   quic.ApplicationErrorCode = 2
	codeProtocol  quic.ApplicationErrorCode = 3
	codeCancelled quic.StreamErrorCode      = 1
	codeRefused   quic.StreamErrorCode      = 2
)

func (t *Transport) newQUIC(socket *net.UDPConn) *quic.Transport {
	return &quic.Transport{
		Conn:              newFilteredConn(socket, t.filter),
		StatelessResetKey: t.resetKey(),
	}
}

// resetKey returns a key that stays the same after a restart, so that a
// stateless reset ends the connections to the previous process at once.
func (t *Transport) resetKey() *quic.StatelessResetKey {
	mac := hmac.New(sha256.New, t.cfg.Keys.Secret())
	mac.Write([]byte("stateless reset " + string(t.cfg.Keys.Instance())))
	return (*quic.StatelessResetKey)(mac.Sum(nil))
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     maxConnWindowBytes,
		MaxIncomingStreams:             t.cfg.MaxStreams,
		MaxIncomingUniStreams:          t.cfg.MaxStreams,
		EnableDatagrams:                true,
	}
}

func (t *Transport) serverTLS() *tls.Config {
	cfg := t.cfg.Keys.ServerTLS()
	cfg.NextProtos = []string{string(classMessages), string(classStreams)}
	return cfg
}

func (t *Transport) clientTLS(key poolKey) *tls.Config {
	cfg := t.cfg.Keys.ClientTLSFor(key.addr.Addr())
	cfg.NextProtos = []string{string(key.class)}
	return cfg
}
