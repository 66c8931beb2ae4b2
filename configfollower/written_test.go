package configfollower

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"Config",
	}, []string{
		Kind,
	})
}
