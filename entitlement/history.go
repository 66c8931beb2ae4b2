package entitlement

import "time"

// maxHistoryEntries bounds a history. Dropping the oldest entries only makes
// waits longer.
const maxHistoryEntries = 64

// history records since when a process is known to be on an epoch or a later
// one, in ascending order of epochs.
type history []historyEntry

type historyEntry struct {
	epoch uint64
	at    time.Time
}

func (h *history) record(epoch uint64, now time.Time) {
	if epoch <= h.last() {
		return
	}
	*h = append(*h, historyEntry{epoch: epoch, at: now})
	if len(*h) > maxHistoryEntries {
		*h = append(history(nil), (*h)[1:]...)
	}
}

func (h history) last() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].epoch
}

// since returns when epoch or a later one first became known.
func (h history) since(epoch uint64) (time.Time, bool) {
	for _, m := range h {
		if m.epoch >= epoch {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// timeSince returns how long epoch or a later one has been known. It is
// negative if no such epoch is known.
func (h history) timeSince(epoch uint64, now time.Time) time.Duration {
	t, ok := h.since(epoch)
	if !ok {
		return -1
	}
	return now.Sub(t)
}

// peer is the state kept for another process.
type peer struct {
	incarnation uint64
	history     history
	// confirmedAt is the send time of the newest heartbeat that the peer
	// answered with an epoch not above the epoch of this host.
	confirmedAt time.Time
}
