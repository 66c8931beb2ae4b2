package authenticator

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"X-Api-Key",
	}, []string{
		KeyHeader,
	})
}
