package holding

import "time"

// marks bounds a history. Forgetting the oldest marks only makes waits longer.
const marks = 64

// history tells since when a process is known to be on an epoch or a later
// one.
type history []mark

type mark struct {
	epoch uint64
	at    time.Time
}

func (h *history) note(epoch uint64, now time.Time) {
	if epoch <= h.last() {
		return
	}
	*h = append(*h, mark{epoch: epoch, at: now})
	if len(*h) > marks {
		*h = append(history(nil), (*h)[1:]...)
	}
}

func (h history) last() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].epoch
}

// since returns when epoch or a later one was first known.
func (h history) since(epoch uint64) (time.Time, bool) {
	for _, m := range h {
		if m.epoch >= epoch {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// span returns for how long epoch or a later one is known, negative if not.
func (h history) span(epoch uint64, now time.Time) time.Duration {
	t, ok := h.since(epoch)
	if !ok {
		return -1
	}
	return now.Sub(t)
}

// peer is what is known of another process.
type peer struct {
	incarnation uint64
	history     history
	// sent is when the newest heartbeat was sent that the peer answered with
	// an epoch not above this host's.
	sent time.Time
}
