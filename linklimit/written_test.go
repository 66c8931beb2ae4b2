package linklimit

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"link/",
	}, []string{
		Prefix,
	})
}
