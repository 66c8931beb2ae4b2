// Package responsehead checks the heads of responses for what net/http accepts and HTTP does not
// allow.
package responsehead

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxStatus is the largest status code of HTTP (RFC 9110, section 15).
const maxStatus = 599

// tokenSymbols are the characters of a token that are neither letters nor digits (RFC 9110,
// section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// Check returns why a response with this head can't be used, nil if it can. A status that is not
// final would be taken for an interim one. A field whose name is not a token, such as
// "Content-Length " with a blank, may have been meant to delimit the body.
func Check(status int, h http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Errorf("status %d is not a final one", status)
	}
	for k := range h {
		if !isToken(k) {
			return errors.Errorf("the name of header field %q is not a token", k)
		}
	}
	return nil
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		l := c | 0x20
		if (l < 'a' || l > 'z') && (c < '0' || c > '9') && strings.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return s != ""
}
