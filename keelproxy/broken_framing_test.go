package keelproxy_test

import (
	"io"
	"testing"

	"github.com/matryer/is"
)

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

// The trailer of a chunked answer, which is dropped, has a line that is no field, or an
// end that is none. The answer must not look complete.
func TestMalformedTrailer(t *testing.T) {
	const start = okHeader + "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n"
	for name, trailer := range map[string]string{
		"blank in a name":           "X Other: 1\r\n\r\n",
		"blank after a name":        "X-Other : 1\r\n\r\n",
		"folded value":              "X-Other: 1\r\n 2:3\r\n\r\n",
		"control byte in a name":    "X-\x01Other: 1\r\n\r\n",
		"NUL in a value":            "X-Other: 1\x00\r\n\r\n",
		"no colon":                  "X-Other\r\n\r\n",
		"ends with a line feed":     "\n",
		"field ends with line feed": "X-Other: 1\n\r\n",
		"two carriage returns":      "\r\r\n",
		"carriage return in a line": "X-Other: 1\r2\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for via, runner := range runners(t, rawEndpoint(t, raw(start+trailer))) {
				t.Run(via, func(t *testing.T) {
					is := is.New(t)
					a, err := runner.RunRequest(t.Context(), newGetRequest())
					is.NoErr(err)
					_, err = io.ReadAll(a.Body)
					is.True(err != nil)
					is.NoErr(a.Body.Close())
				})
			}
		})
	}
}

// The lines of a chunked answer between its chunks are malformed. The answer must not look
// complete.
func TestMalformedChunks(t *testing.T) {
	for name, body := range map[string]string{
		"line feed after a size":     "5\nbytes\r\n0\r\n\r\n",
		"carriage return in a size":  "5\r5\r\nbytes\r\n0\r\n\r\n",
		"blank in a size":            "0 5\r\nbytes\r\n0\r\n\r\n",
		"sign before a size":         "+5\r\nbytes\r\n0\r\n\r\n",
		"prefix of a size":           "0x5\r\nbytes\r\n0\r\n\r\n",
		"no size":                    "\r\nbytes\r\n0\r\n\r\n",
		"size beyond 64 bits":        "10000000000000005\r\nbytes\r\n0\r\n\r\n",
		"chunk longer than its size": "5\r\nbytes!\r\n0\r\n\r\n",
		"line feed after a chunk":    "5\r\nbytes\n0\r\n\r\n",
		"last chunk missing":         "5\r\nbytes\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for via, runner := range runners(t, rawEndpoint(t, raw(okHeader+"Transfer-Encoding: chunked\r\n\r\n"+body))) {
				t.Run(via, func(t *testing.T) {
					is := is.New(t)
					a, err := runner.RunRequest(t.Context(), newGetRequest())
					is.NoErr(err)
					_, err = io.ReadAll(a.Body)
					is.True(err != nil)
					is.NoErr(a.Body.Close())
				})
			}
		})
	}
}
