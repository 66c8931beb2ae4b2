package stress

import (
	"context"
	"math/rand/v2"
	"time"

	"celeryreach.example/celeryreach/backendfaults"
	"celeryreach.example/celeryreach/platformfaults"
)

const (
	meanFaultInterval = 150 * time.Millisecond
	faultDuration     = 400 * time.Millisecond
	maxLostAnswers    = 20
	storeDelay        = 100 * time.Millisecond
	maxFaultyRequests = 8
)

// injectFaults injects random faults until ctx ends. It ends each store fault and
// partition that it has started before it returns.
func (s *Stress) injectFaults(ctx context.Context, done chan<- error) {
	r := rand.New(rand.NewPCG(s.Seed, ^uint64(0)))
	s.faultCounts = make(map[string]int)
	for ctx.Err() == nil {
		s.pause(ctx, time.Duration(r.Int64N(int64(2*meanFaultInterval))))
		n := r.IntN(8)
		switch {
		case n < 4:
			s.injectBackendFault(r)
		case n < 6:
			s.injectStoreFault(ctx, r)
		case n < 7:
			if err := s.restartRandomHost(r); err != nil {
				done <- err
				return
			}
		default:
			s.injectPartition(ctx, r)
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

func (s *Stress) injectBackendFault(r *rand.Rand) {
	b := s.backendNames()
	i := r.IntN(len(b))
	f := []struct {
		name  string
		knobs backendfaults.Backendfaults
	}{
		{"backend-died", backendfaults.Backendfaults{Close: true}},
		{"backend-died-in-answer", backendfaults.Backendfaults{Cut: true}},
		{"backend-wrong-id", backendfaults.Backendfaults{WrongID: true}},
		{"backend-short", backendfaults.Backendfaults{Short: true}},
		{"backend-unsized", backendfaults.Backendfaults{Unsized: true}},
		{"backend-silent", backendfaults.Backendfaults{Silent: true}},
		{"backend-mute", backendfaults.Backendfaults{Mute: true}},
		{"backend-shed", backendfaults.Backendfaults{Shed: true}},
	}
	v := f[r.IntN(len(f))]
	v.knobs.First = 1 + r.IntN(maxFaultyRequests)
	if i%largeAnswerInterval == 0 {
		v.knobs.Bytes = largeAnswerBytes
	}
	s.fleet.Backend(b[i]).SetFaults(v.knobs)
	s.faultCounts[v.name]++
}

func (s *Stress) injectStoreFault(ctx context.Context, r *rand.Rand) {
	f := []struct {
		name  string
		knobs platformfaults.Platformfaults
	}{
		{"store-out", platformfaults.Platformfaults{Outage: true}},
		{"store-slow", platformfaults.Platformfaults{Delay: storeDelay}},
		{"store-loses-answers", platformfaults.Platformfaults{LoseAnswers: 1 + r.IntN(maxLostAnswers)}},
	}
	v := f[r.IntN(len(f))]
	s.fleet.Platform.SetFaults(v.knobs)
	s.faultCounts[v.name]++
	s.pause(ctx, faultDuration)
	s.fleet.Platform.SetFaults(platformfaults.Platformfaults{})
}

func (s *Stress) restartRandomHost(r *rand.Rand) error {
	h := s.fleet.Hosts()
	n := h[r.IntN(len(h))]
	if r.IntN(2) == 0 {
		s.faultCounts["host-killed"]++
		s.fleet.KillHost(n)
	} else {
		s.faultCounts["host-shut-down"]++
		if err := s.fleet.StopHost(n); err != nil {
			return err
		}
	}
	s.fleet.StartHost(n)
	return nil
}

func (s *Stress) injectPartition(ctx context.Context, r *rand.Rand) {
	d := s.fleet.Config.Domains
	i := r.IntN(len(d))
	a, b := d[i].Name, d[(i+1)%len(d)].Name
	s.faultCounts["domains-cut"]++
	s.fleet.Partition(a, b)
	s.pause(ctx, faultDuration)
	s.fleet.Heal(a, b)
}
