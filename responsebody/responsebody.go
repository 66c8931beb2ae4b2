// Package responsebody reads bodies of responses that may have no end.
package responsebody

import (
	"io"

	"github.com/pkg/errors"
)

// Read returns the whole content of r, or an error if it is longer than limit bytes. Of a longer
// one, it keeps no more than that.
func Read(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if int64(len(b)) > limit {
		return nil, errors.Errorf("body is longer than %d bytes", limit)
	}
	return b, nil
}
