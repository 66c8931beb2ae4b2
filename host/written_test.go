package host

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"Division", "lease/planner", "/lookup",
	}, []string{
		divisionKind, plannerKey, lookupPath,
	})
}
