package loadreport

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"X-Backend-Load", "X-Backend-Draining",
	}, []string{
		LoadHeader, DrainingHeader,
	})
}
