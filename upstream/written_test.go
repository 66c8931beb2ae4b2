package upstream

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"X-Request-Id", "Request-Timeout",
	}, []string{
		IDHeader, TimeoutHeader,
	})
}
