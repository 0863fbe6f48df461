// Package head checks the heads of HTTP/1.1 responses, of which net/http accepts some that are malformed.
package head

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalid means that a response has a malformed head, so that nothing in it can be trusted.
var ErrInvalid = errors.New("malformed head of a response")

// Check returns an error that wraps ErrInvalid if net/http has accepted a malformed head: another major version than 1 or
// a status that is not three digits from 100 on. A protocol switch is malformed, too, since no request asks for one.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.40q", ErrInvalid, r.Proto)
	}
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %.40q", ErrInvalid, r.Status)
	}
	return nil
}
