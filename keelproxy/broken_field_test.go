package keelproxy_test

import "testing"

// An endpoint sends an answer in whose header a line is no field. The caller must get
// neither that line nor a body with another length than the endpoint's.
func TestMalformedField(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nKeel-Request-Id: id-1\r\n"
	for name, rest := range map[string]string{
		"blank in a name":              "Content-Length: 5\r\nX Other: 1\r\n\r\nwrong",
		"blank after a name":           "Content-Length: 5\r\nX-Other : 1\r\n\r\nwrong",
		"tab after a name":             "Content-Length: 5\r\nX-Other\t: 1\r\n\r\nwrong",
		"blank before a name":          "Content-Length: 5\r\n X-Other: 1\r\n\r\nwrong",
		"tab before a name":            "Content-Length: 5\r\n\tX-Other: 1\r\n\r\nwrong",
		"folded value":                 "Content-Length: 5\r\nX-Other: 1\r\n 2\r\n\r\nwrong",
		"blank in the length's name":   "Content- Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"blank after the length":       "Content-Length : 5\r\n\r\nwrong",
		"blank after the encoding":     "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"line feed before a name":      "Content-Length: 5\r\n\nX-Other: 1\r\n\r\nwrong",
		"line feed in a name":          "Content-Length: 5\r\nX-\nOther: 1\r\n\r\nwrong",
		"carriage return in a name":    "Content-Length: 5\r\nX-\rOther: 1\r\n\r\nwrong",
		"carriage return before it":    "Content-Length: 5\r\n\rX-Other: 1\r\n\r\nwrong",
		"NUL in a name":                "Content-Length: 5\r\nX-\x00Other: 1\r\n\r\nwrong",
		"control byte in a name":       "Content-Length: 5\r\nX-\x1fOther: 1\r\n\r\nwrong",
		"DEL in a name":                "Content-Length: 5\r\nX-\x7fOther: 1\r\n\r\nwrong",
		"name beyond ASCII":            "Content-Length: 5\r\nX-\xc3\xa4: 1\r\n\r\nwrong",
		"separator in a name":          "Content-Length: 5\r\nX-(Other): 1\r\n\r\nwrong",
		"no name":                      "Content-Length: 5\r\n: 1\r\n\r\nwrong",
		"no colon":                     "Content-Length: 5\r\nX-Other\r\n\r\nwrong",
		"NUL in a value":               "Content-Length: 5\r\nX-Other: 1\x002\r\n\r\nwrong",
		"control byte in a value":      "Content-Length: 5\r\nX-Other: 1\x012\r\n\r\nwrong",
		"DEL in a value":               "Content-Length: 5\r\nX-Other: 1\x7f2\r\n\r\nwrong",
		"carriage return in a value":   "Content-Length: 5\r\nX-Other: 1\r2\r\n\r\nwrong",
		"line feed in a value":         "Content-Length: 5\r\nX-Other: 1\n2: 3\r\n\r\nwrong",
		"carriage return twice":        "Content-Length: 5\r\nX-Other: 1\r\r\n\r\nwrong",
		"line feed alone ends header":  "Content-Length: 5\n\nwrong\r\n\r\n",
		"line feed, then another line": "Content-Length: 5\r\nX-Other: 1\n\r\nwrong",
	} {
		t.Run(name, func(t *testing.T) { expectRefused(t, start+rest) })
	}
}

// The header of an interim answer is checked like that of the answer after it.
func TestMalformedInterimAnswer(t *testing.T) {
	const answer = okHeader + "Content-Length: 5\r\n\r\nwrong"
	for name, interim := range map[string]string{
		"status 000":      "HTTP/1.1 000 Oops\r\n\r\n",
		"status 007":      "HTTP/1.1 007 Oops\r\n\r\n",
		"blank in a name": "HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\n",
		"line feed":       "HTTP/1.1 103 Early Hints\r\n\nX-Other: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { expectRefused(t, interim+answer) })
	}
}
