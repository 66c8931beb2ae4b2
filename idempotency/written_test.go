package idempotency

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"idempotency/account/id",
	}, []string{
		Key("account", "id"),
	})
}
