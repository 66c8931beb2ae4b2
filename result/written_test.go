package result

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"Succeeded", "Shed", "Failed", "Canceled", "Refused", "Unused",
	}, []string{
		Succeeded.String(), Shed.String(), Failed.String(), Canceled.String(), Refused.String(), Unused.String(),
	})
}
