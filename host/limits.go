package host

import (
	"celeryreach.example/celeryreach/account"
)

func (x *parts) account(name string) (account.Account, bool) {
	s := x.follower.Snapshot()
	if s == nil {
		return account.Account{}, false
	}
	return s.Account(name)
}

// fraction cuts every limit equally between the hosts that are alive.
func (x *parts) fraction(string) float64 {
	return 1 / float64(len(x.hosts()))
}
