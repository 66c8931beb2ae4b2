package responsecopier

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"X-Not-Run",
	}, []string{
		NotRunHeader,
	})
}
