package entry

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"Idempotency-Key", "Request-Timeout",
	}, []string{
		IdempotencyHeader, TimeoutHeader,
	})
}
