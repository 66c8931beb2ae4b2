package placementtrial

// bucketCount is what became of the requests of some seconds.
type bucketCount struct {
	asked, timely, late, refused, failed int

	bound, boundTimely int // those that must be served in one region
}

func (b *bucketCount) ask(bound bool) {
	b.asked++
	if bound {
		b.bound++
	}
}

func (b *bucketCount) answer(bound bool) {
	b.timely++
	if bound {
		b.boundTimely++
	}
}
