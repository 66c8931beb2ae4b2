package validate_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/golden"
	"celeryreach.example/celeryreach/validate"
)

// Each file holds a configuration and all mistakes in it. An operator who sends
// such a configuration must receive all mistakes at once, each with its field.
func TestConfig(t *testing.T) {
	golden.Run(t, func(t *testing.T, p [][]byte) string {
		var c config.Config
		must.NoError(t, codec.Unmarshal(p[0], &c))
		m := validate.Config(&c)
		if len(m) == 0 {
			return ""
		}
		return strings.Join(m, "\n") + "\n"
	})
}
