package expiry

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"idempotency-expiry/", "200601021504",
	}, []string{
		prefix, layout,
	})
}
