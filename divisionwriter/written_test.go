package divisionwriter

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"slots/", "link/",
	}, []string{
		SlotsPrefix, LinkPrefix,
	})
}
