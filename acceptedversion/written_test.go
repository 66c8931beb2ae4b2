package acceptedversion

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "accepted", new(Acceptedversion))
}

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"config", "plan", "blocks", "config/hash",
	}, []string{
		ConfigKey, PlanKey, BlocksKey, ObjectName(ConfigKey, "hash"),
	})
}
