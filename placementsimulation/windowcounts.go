package placementsimulation

// windowCounts counts the requests that arrived in one window, by their outcome.
type windowCounts struct {
	total, timely, late, refused, failed int

	restricted, restrictedTimely int // requests that must be served in one region
}

func (b *windowCounts) countArrival(restricted bool) {
	b.total++
	if restricted {
		b.restricted++
	}
}

func (b *windowCounts) countTimely(restricted bool) {
	b.timely++
	if restricted {
		b.restrictedTimely++
	}
}
