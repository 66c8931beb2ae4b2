package stress

import (
	"context"
	"math/rand/v2"
	"time"

	"celeryreach.example/celeryreach/backendknobs"
	"celeryreach.example/celeryreach/knobs"
)

const (
	faultEvery = 150 * time.Millisecond
	faultFor   = 400 * time.Millisecond
	loseMost   = 20
	slowStore  = 100 * time.Millisecond
	faultFirst = 8
)

// disturb draws faults until ctx ends, and undoes the last one.
func (s *Stress) disturb(ctx context.Context, done chan<- error) {
	r := rand.New(rand.NewPCG(s.Seed, ^uint64(0)))
	s.faults = make(map[string]int)
	for ctx.Err() == nil {
		s.pause(ctx, time.Duration(r.Int64N(int64(2*faultEvery))))
		n := r.IntN(8)
		switch {
		case n < 4:
			s.backendFault(r)
		case n < 6:
			s.storeFault(ctx, r)
		case n < 7:
			if err := s.hostFault(r); err != nil {
				done <- err
				return
			}
		default:
			s.linkFault(ctx, r)
		}
	}
	done <- nil
}

func (s *Stress) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.Clock.After(d):
	}
}

func (s *Stress) backendFault(r *rand.Rand) {
	b := s.backends()
	i := r.IntN(len(b))
	f := []struct {
		name  string
		knobs backendknobs.Backendknobs
	}{
		{"backend-died", backendknobs.Backendknobs{Close: true}},
		{"backend-died-in-answer", backendknobs.Backendknobs{Cut: true}},
		{"backend-wrong-id", backendknobs.Backendknobs{WrongID: true}},
		{"backend-short", backendknobs.Backendknobs{Short: true}},
		{"backend-unsized", backendknobs.Backendknobs{Unsized: true}},
		{"backend-silent", backendknobs.Backendknobs{Silent: true}},
		{"backend-mute", backendknobs.Backendknobs{Mute: true}},
		{"backend-shed", backendknobs.Backendknobs{Shed: true}},
	}
	v := f[r.IntN(len(f))]
	v.knobs.First = 1 + r.IntN(faultFirst)
	if i%largeEvery == 0 {
		v.knobs.Bytes = largeAnswer
	}
	s.fleet.Backend(b[i]).Set(v.knobs)
	s.faults[v.name]++
}

func (s *Stress) storeFault(ctx context.Context, r *rand.Rand) {
	f := []struct {
		name  string
		knobs knobs.Knobs
	}{
		{"store-out", knobs.Knobs{Outage: true}},
		{"store-slow", knobs.Knobs{Delay: slowStore}},
		{"store-loses-answers", knobs.Knobs{LoseAnswers: 1 + r.IntN(loseMost)}},
	}
	v := f[r.IntN(len(f))]
	s.fleet.Platform.Set(v.knobs)
	s.faults[v.name]++
	s.pause(ctx, faultFor)
	s.fleet.Platform.Set(knobs.Knobs{})
}

func (s *Stress) hostFault(r *rand.Rand) error {
	h := s.fleet.Hosts()
	n := h[r.IntN(len(h))]
	if r.IntN(2) == 0 {
		s.faults["host-killed"]++
		s.fleet.KillHost(n)
	} else {
		s.faults["host-shut-down"]++
		if err := s.fleet.StopHost(n); err != nil {
			return err
		}
	}
	s.fleet.StartHost(n)
	return nil
}

func (s *Stress) linkFault(ctx context.Context, r *rand.Rand) {
	d := s.fleet.Config.Domains
	i := r.IntN(len(d))
	a, b := d[i].Name, d[(i+1)%len(d)].Name
	s.faults["domains-cut"]++
	s.fleet.Cut(a, b)
	s.pause(ctx, faultFor)
	s.fleet.Heal(a, b)
}
