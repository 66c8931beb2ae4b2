package backendstandin

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"X-Judge-Id",
	}, []string{
		AttemptHeader,
	})
}
