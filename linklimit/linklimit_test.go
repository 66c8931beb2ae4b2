package linklimit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/link"
)

// The link between two regions is shared by all traffic. Hosts that exceed its
// capacity delay everyone's answers, including heartbeats. Whatever is sent,
// and however wrong the estimates are, the bytes sent in any period are at most
// the host's part of the link's bytes for that period, the bytes that may be
// sent at once, and the last message.
func TestSentBytesWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		l := &Linklimit{
			Clock: c, Links: func() []link.Link { return []link.Link{{From: "a", To: "b", BytesPerSecond: 1000}} },
			Fraction: func(string) float64 { return 0.5 },
		}
		type message struct {
			at    time.Time
			bytes int64
		}
		var sent []message
		largest := int64(0)
		for range 100 {
			c.Advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			f, d, ok := l.Take("a", "b", rapid.Int64Range(0, 400).Draw(t, "estimate"))
			if !ok {
				must.Positive(t, d)
				continue
			}
			n := rapid.Int64Range(0, 400).Draw(t, "bytes")
			f(n)
			largest = max(largest, n)
			sent = append(sent, message{c.Now(), n})
		}
		for i := range sent {
			sum := int64(0)
			for _, m := range sent[i:] {
				sum += m.bytes
				w := m.at.Sub(sent[i].at).Seconds()
				must.LessEq(t, 500*(w+burstSeconds)+float64(largest)+1, float64(sum))
			}
		}
	})
}

// Within a region, and between regions without a listed link, bytes are not
// counted. A host whose part of a listed link is zero sends nothing.
func TestUnlistedLinksUnlimited(t *testing.T) {
	p := 0.0
	l := &Linklimit{
		Clock: clockwork.NewFakeClock(), Links: func() []link.Link { return []link.Link{{From: "a", To: "b", BytesPerSecond: 1}} },
		Fraction: func(string) float64 { return p },
	}
	_, _, ok := l.Take("a", "a", 1e9)
	must.True(t, ok)
	_, _, ok = l.Take("b", "a", 1e9)
	must.True(t, ok)
	_, _, ok = l.Take("a", "b", 1)
	must.False(t, ok)
}
