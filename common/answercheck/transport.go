package answercheck

import "net/http"

// Transport is an http.Transport that fails requests whose answers are malformed.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. The error of a malformed answer wraps an Error.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		// The connection is closed regardless of the error.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
