// Package retrybudget limits second attempts to a fraction of first attempts.
package retrybudget

import "sync"

const (
	// defaultInitialRetries lets a service with little traffic make a second attempt at once
	// when a connection has gone silent.
	defaultInitialRetries = 5
	defaultMaxRetries     = 20
)

// Retrybudget counts the attempts for each service. Without this budget, an overloaded
// backend server would receive every request twice, when it can least handle the
// additional load.
type Retrybudget struct {
	// Ratio returns the maximum ratio of second attempts to first attempts.
	Ratio func() float64
	// Limit returns how many second attempts may be made in a burst; nil means 20.
	Limit func() float64
	// Initial returns how many second attempts of a service may be made before any request
	// was counted; nil means 5. Processes that are restarted add as many to those of all hosts.
	Initial func() float64
	// OnTake is called with each result of TakeRetry; nil disables the call.
	OnTake func(service string, allowed bool)

	mu        sync.Mutex
	remaining map[string]float64
}

// CountRequest counts a first attempt.
func (b *Retrybudget) CountRequest(service string) {
	r := b.Ratio()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining[service] = min(b.balance(service)+r, b.maxRetries())
}

// TakeRetry reports whether a second attempt is allowed, and counts it if so.
func (b *Retrybudget) TakeRetry(service string) bool {
	v := b.take(service)
	if b.OnTake != nil {
		b.OnTake(service, v)
	}
	return v
}

func (b *Retrybudget) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := min(b.balance(service), b.maxRetries())
	if v < 1 {
		return false
	}
	b.remaining[service] = v - 1
	return true
}

// balance returns how many second attempts a service has left.
func (b *Retrybudget) balance(service string) float64 {
	if b.remaining == nil {
		b.remaining = make(map[string]float64)
	}
	if v, ok := b.remaining[service]; ok {
		return v
	}
	if b.Initial == nil {
		return min(defaultInitialRetries, b.maxRetries())
	}
	return min(b.Initial(), b.maxRetries())
}

func (b *Retrybudget) maxRetries() float64 {
	if b.Limit == nil {
		return defaultMaxRetries
	}
	return b.Limit()
}
