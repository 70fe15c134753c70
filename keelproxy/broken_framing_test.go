package keelproxy_test

import "testing"

// An endpoint sends an answer whose end is stated in two ways, or in a way that its
// version of HTTP does not have.
func TestAmbiguousFraming(t *testing.T) {
	for name, answer := range map[string]string{
		"length, then chunked":  okHeader + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		"chunked, then length":  okHeader + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		"chunked, empty length": okHeader + "Transfer-Encoding: chunked\r\nContent-Length:\r\n\r\n0\r\n\r\n",
		"two lengths":           okHeader + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwrong!",
		"list of lengths":       okHeader + "Content-Length: 5, 6\r\n\r\nwrong!",
		"length with a sign":    okHeader + "Content-Length: +5\r\n\r\nwrong",
		"negative length":       okHeader + "Content-Length: -5\r\n\r\nwrong",
		"hexadecimal length":    okHeader + "Content-Length: 0x5\r\n\r\nwrong",
		"empty length":          okHeader + "Content-Length:\r\n\r\n",
		"length beyond 64 bits": okHeader + "Content-Length: 18446744073709551621\r\n\r\nwrong",
		"chunked twice":         okHeader + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"list of encodings":     okHeader + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"identity":              okHeader + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nwrong",
		"empty encoding":        okHeader + "Transfer-Encoding:\r\nContent-Length: 5\r\n\r\nwrong",
		"chunked in HTTP/1.0":   "HTTP/1.0 200 OK\r\nKeel-Request-Id: id-1\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunked, 1.0, length":  "HTTP/1.0 200 OK\r\nKeel-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nwrong",
		"chunked in HTTP/1.2":   "HTTP/1.2 200 OK\r\nKeel-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nwrong",
		"no length, kept open":  okHeader + "\r\nwrong",
	} {
		t.Run(name, func(t *testing.T) { expectRefused(t, answer) })
	}
}
