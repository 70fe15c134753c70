package keelheader

import "net/http"

// Do sends a request with an HTTP client and checks the header of its answer. The error is
// that of the client or an [Error]; the request may have run then.
func Do(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close()         // closes a connection whose answer is unread
		client.CloseIdleConnections() // the answer may have had no body
		return nil, err
	}
	return resp, nil
}

// CheckResponse checks what net/http lets through in the header of an answer. The error is an
// [Error]. Line ends, folded lines and the framing are not checked: net/http reads them as RFC
// 9112 permits a client that passes nothing on.
func CheckResponse(resp *http.Response) error {
	if resp.ProtoMajor != 1 || resp.StatusCode < http.StatusContinue || resp.StatusCode > MaxStatus {
		return ErrStatusLine
	}
	for name := range resp.Header {
		if !IsToken([]byte(name)) {
			return ErrField
		}
	}
	return nil
}
