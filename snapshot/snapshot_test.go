package snapshot_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/delta"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/validate"
)

// large returns a configuration with n client accounts of two keys each.
func large(n int) *config.Config {
	c := new(config.Config)
	for i := range n {
		a := fmt.Sprintf("account-%d", i)
		c.Accounts = append(c.Accounts, account.Account{Name: a, Rate: 10, Burst: 5})
		for j := range 2 {
			k := fmt.Sprintf("%s-%d", a, j)
			c.Keys = append(c.Keys, credential.Credential{ID: k, Account: a, Hash: credential.Hash(k)})
		}
	}
	return c
}

// BenchmarkVersion measures the steps that a new version requires: the host of
// the operator validates it and computes the delta; every host applies the
// delta, and hashes, decodes and indexes the result.
func BenchmarkVersion(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		c := large(n)
		o, err := codec.Marshal(c)
		must.NoError(b, err)
		c.Version++
		c.Accounts[n/2].Rate = 11
		v, err := codec.Marshal(c)
		must.NoError(b, err)
		d := delta.Make(o, v)
		for _, p := range []struct {
			name string
			run  func()
		}{
			{"Validate", func() { validate.Config(c) }},
			{"MakeDelta", func() { delta.Make(o, v) }},
			{"ApplyDelta", func() { _, _ = delta.Apply(o, d) }},
			{"Hash", func() { acceptedversion.Hash(v) }},
			{"Read", func() { _ = codec.Unmarshal(v, new(config.Config)) }},
			{"Index", func() { snapshot.New(c, "") }},
		} {
			b.Run(fmt.Sprintf("%s/%d", p.name, n), func(b *testing.B) {
				for b.Loop() {
					p.run()
				}
				b.ReportMetric(float64(len(v))/(1<<20), "MB-content")
				b.ReportMetric(float64(len(d)), "B-delta")
			})
		}
	}
}

// BenchmarkMemory measures the memory that a host uses for each account with
// two keys: the encoded content for its peers, the configuration and the
// indexes.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	v, err := codec.Marshal(large(n))
	must.NoError(b, err)
	var m uint64
	for b.Loop() {
		h := heap()
		c := new(config.Config)
		must.NoError(b, codec.Unmarshal(v, c))
		s := snapshot.New(c, "")
		m = heap() - h
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(m)/n, "B/account")
	b.ReportMetric(float64(len(v))/n, "B-content/account")
}

// heap runs the garbage collector twice, because pooled buffers survive the
// first collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
