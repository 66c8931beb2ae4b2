package routeindex_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/routeindex"
)

// Guards against a request that was admitted by one version of the configuration and is
// sent where a later one does not let it go.
func TestHomesOfLaterVersion(t *testing.T) {
	var (
		route   = ingress.Ingress{Host: "camps.example", Prefix: "/listings/", Homes: []string{"lagos", "abuja"}}
		longer  = ingress.Ingress{Host: "camps.example", Prefix: "/listings/lagos/", Homes: []string{"lagos"}}
		unbound = ingress.Ingress{Host: "camps.example", Prefix: "/listings/"}
		public  = ingress.Ingress{Host: "camps.example", Prefix: "/listings/", Public: true}
		unity   = account.Account{Name: "unity"}
		abuja   = account.Account{Name: "unity", Homes: []string{"abuja"}}
		other   = account.Account{Name: "other", Homes: []string{"harcourt"}}
		key     = credential.Credential{Account: "unity", Hash: "h"}
		moved   = credential.Credential{Account: "other", Hash: "h"}
	)
	for _, v := range []struct {
		name   string
		config config.Config
		path   string
		key    credential.Credential
		want   string
	}{
		{"route", config.Config{Routes: []ingress.Ingress{route}}, "/listings/1", credential.Credential{}, "lagos,abuja"},
		{"longer route", config.Config{Routes: []ingress.Ingress{route, longer}}, "/listings/lagos/1", credential.Credential{}, "lagos"},
		{"longer route dropped", config.Config{Routes: []ingress.Ingress{unbound}}, "/listings/lagos/1", credential.Credential{}, "all"},
		{"route dropped", config.Config{Accounts: []account.Account{abuja}}, "/listings/1", key, "abuja"},
		{"account", config.Config{Routes: []ingress.Ingress{unbound}, Accounts: []account.Account{abuja}}, "/listings/1", key, "abuja"},
		{"account without homes", config.Config{Routes: []ingress.Ingress{unbound}, Accounts: []account.Account{unity}}, "/listings/1", key, "all"},
		{"route and account", config.Config{Routes: []ingress.Ingress{route}, Accounts: []account.Account{abuja}}, "/listings/1", key, "abuja"},
		{"account dropped", config.Config{Routes: []ingress.Ingress{route}}, "/listings/1", key, "lagos,abuja"},
		{"key moved", config.Config{Routes: []ingress.Ingress{unbound}, Accounts: []account.Account{unity, other}, Keys: []credential.Credential{moved}}, "/listings/1", key, "harcourt"},
		{"key moved from an account with homes", config.Config{Routes: []ingress.Ingress{unbound}, Accounts: []account.Account{abuja, other}, Keys: []credential.Credential{moved}}, "/listings/1", key, "none"},
		{"public", config.Config{Routes: []ingress.Ingress{public}, Accounts: []account.Account{abuja}}, "/listings/1", credential.Credential{}, "all"},
		{"public by now", config.Config{Routes: []ingress.Ingress{public}, Accounts: []account.Account{abuja}}, "/listings/1", key, "all"},
	} {
		t.Run(v.name, func(t *testing.T) {
			b := routeindex.New(&v.config, nil, time.Time{})
			must.EqOp(t, v.want, b.HomesOf("camps.example", v.path, v.key).String())
		})
	}
}
