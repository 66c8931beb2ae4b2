package blockfollower

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"Blocks", "BlockChunk",
	}, []string{
		Kind, ChunkKind,
	})
}
