package ticketstore

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"ticket:",
	}, []string{
		prefix,
	})
}
