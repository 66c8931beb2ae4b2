package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/routeindex"
	"celeryreach.example/celeryreach/wire"
)

func newIndex(version uint64, c config.Config) *routeindex.Routeindex {
	c.Version = version
	return routeindex.New(&c, nil, time.Time{})
}

// Guards against homes that a forwarded request loses on its way to the other host, also if
// that host knows no backend server there or an older build sent it.
func TestStatedHomes(t *testing.T) {
	b := newIndex(7, config.Config{
		Routes:   []ingress.Ingress{{Name: "view", Host: "camps.example", Prefix: "/listings/", Homes: []string{"lagos", "abuja"}}, {Name: "any", Host: "camps.example", Prefix: "/any/"}},
		Accounts: []account.Account{{Name: "unity", Homes: []string{"abuja"}}},
		Keys:     []credential.Credential{{Account: "unity", Hash: "h"}},
	})
	for _, v := range []struct {
		name    string
		path    string
		account string
		message *wire.Request
		want    string // empty if the request is refused
	}{
		{name: "all", path: "/any/1", message: stated(homes.Homes{}), want: "all"},
		{name: "one", path: "/any/1", message: stated(homes.Intersect([]string{"lagos"})), want: "lagos"},
		{name: "none", path: "/any/1", message: stated(homes.Homes{Bound: true}), want: "none"},
		{name: "older build, one", path: "/any/1", message: &wire.Request{Regions: []string{"lagos"}, ConfigVersion: 3}, want: "lagos"},
		{name: "older build, unbound", path: "/any/1", message: &wire.Request{ConfigVersion: 7}, want: "all"},
		{name: "older build, route", path: "/listings/1", message: &wire.Request{ConfigVersion: 7}, want: "lagos,abuja"},
		{name: "older build, route and account", path: "/listings/1", account: "unity", message: &wire.Request{ConfigVersion: 7}, want: "abuja"},
		{name: "older build, older version", path: "/any/1", message: &wire.Request{ConfigVersion: 6}},
		{name: "older build, newer version", path: "/any/1", message: &wire.Request{ConfigVersion: 8}},
	} {
		t.Run(v.name, func(t *testing.T) {
			h, ok := statedHomes(v.message, &request.Request{Host: "camps.example", Path: v.path, Credential: credential.Credential{Account: v.account}}, b)
			must.EqOp(t, v.want != "", ok)
			if ok {
				must.EqOp(t, v.want, h.String())
			}
		})
	}
}

func stated(h homes.Homes) *wire.Request {
	m := new(wire.Request)
	stateHomes(m, &request.Request{Homes: h})
	return m
}
