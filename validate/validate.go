// Package validate checks a configuration whole, before it is accepted.
package validate

import (
	"fmt"

	"celeryreach.example/celeryreach/config"
)

// Config returns every mistake of c, each as the field's JSON pointer, a colon
// and the reason, in the order of the fields. An accepted configuration is
// never validated again by the hosts that apply it, so a mistake that slips
// through here reaches all of them.
func Config(c *config.Config) []string {
	k := &checker{
		regions:  make(map[string]bool, len(c.Regions)),
		domains:  make(map[string]bool, len(c.Domains)),
		services: make(map[string]bool, len(c.Services)),
		accounts: make(map[string]bool, len(c.Accounts)),
		hashes:   make(map[string]bool, len(c.Keys)+len(c.Operators)),
	}
	k.presets(c)
	k.topology(c)
	k.served(c)
	k.backends(c)
	k.clients(c)
	k.credentials(c)
	k.steering(c)
	k.promises(c)
	return k.mistakes
}

// checker collects mistakes and the names that later fields refer to.
type checker struct {
	mistakes []string
	regions  map[string]bool
	domains  map[string]bool
	services map[string]bool
	accounts map[string]bool
	hashes   map[string]bool
}

func (k *checker) add(path, format string, args ...any) {
	k.mistakes = append(k.mistakes, path+": "+fmt.Sprintf(format, args...))
}

// require adds a mistake unless ok holds. The arguments of the path are only
// formatted for mistakes: a large configuration has few.
func (k *checker) require(ok bool, list string, index int, field, reason string) {
	if !ok {
		k.add(at(list, index, field), "%s", reason)
	}
}

// name checks that a name is set and unique, and remembers it.
func (k *checker) name(seen map[string]bool, list string, index int, name string) {
	switch {
	case name == "":
		k.add(at(list, index, "Name"), "a name is needed")
	case seen[name]:
		k.add(at(list, index, "Name"), "%q is used twice", name)
	}
	seen[name] = true
}

// refer checks that a name refers to something that exists.
func (k *checker) refer(seen map[string]bool, list string, index int, field, name string) {
	if name == "" || !seen[name] {
		k.add(at(list, index, field), "%q does not exist", name)
	}
}

func at(list string, index int, field string) string {
	return fmt.Sprintf("/%s/%d/%s", list, index, field)
}

func fraction(v float64) bool {
	return v >= 0 && v <= 1
}
