package routeindex_test

import (
	"fmt"
	"testing"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/routeindex"
)

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		c := &config.Config{Accounts: []account.Account{{Name: "unity"}}}
		for i := range n {
			c.Keys = append(c.Keys, credential.Credential{Account: "unity", Hash: credential.Hash(fmt.Sprint(i))})
		}
		o := routeindex.New(c, nil, time.Time{})
		b.Run(fmt.Sprintf("first/keys=%d", n), func(b *testing.B) {
			for b.Loop() {
				routeindex.New(c, nil, time.Time{})
			}
		})
		b.Run(fmt.Sprintf("next/keys=%d", n), func(b *testing.B) {
			for b.Loop() {
				routeindex.New(c, o, time.Time{})
			}
		})
	}
}
