// Package httpstatus checks the status of HTTP answers.
package httpstatus

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// statusDigits is the length of a status code.
const statusDigits = 3

// Check returns an error if a response that was read from a connection has a status that no
// answer may have: one outside 100 to 599, one with a sign, which net/http accepts, or 101,
// after which the connection carries another protocol. The bytes that follow belong to no
// answer then.
func Check(response *http.Response) error {
	code := response.StatusCode
	digits := len(response.Status) >= statusDigits && strings.Trim(response.Status[:statusDigits], "0123456789") == ""
	if !digits || code < 100 || code > 599 || code == http.StatusSwitchingProtocols {
		return eris.Errorf("status %q is no status of an answer", response.Status)
	}
	return nil
}
