// Package validate checks a complete configuration before it is accepted.
package validate

import (
	"fmt"

	"celeryreach.example/celeryreach/config"
)

// Config returns all mistakes of c, each as the field's JSON pointer, a colon and
// the reason, in the order of the fields. Hosts do not validate an accepted
// configuration again, so a mistake that is missed here reaches all of them.
func Config(c *config.Config) []string {
	k := &checker{
		regions:   make(map[string]bool, len(c.Regions)),
		domains:   make(map[string]bool, len(c.Domains)),
		services:  make(map[string]bool, len(c.Services)),
		accounts:  make(map[string]bool, len(c.Accounts)),
		keyHashes: make(map[string]bool, len(c.Keys)+len(c.Operators)),
	}
	k.checkPresets(c)
	k.checkTopology(c)
	k.checkServices(c)
	k.checkBackends(c)
	k.checkAccounts(c)
	k.checkCredentials(c)
	k.checkBlocksAndLinks(c)
	k.checkObjectives(c)
	return k.mistakes
}

// checker collects mistakes, and the names that later fields refer to.
type checker struct {
	mistakes  []string
	regions   map[string]bool
	domains   map[string]bool
	services  map[string]bool
	accounts  map[string]bool
	keyHashes map[string]bool
}

func (k *checker) addMistake(path, format string, args ...any) {
	k.mistakes = append(k.mistakes, path+": "+fmt.Sprintf(format, args...))
}

// require adds a mistake if ok is false. The path is formatted only for mistakes,
// of which even a large configuration has few.
func (k *checker) require(ok bool, list string, index int, field, reason string) {
	if !ok {
		k.addMistake(fieldPath(list, index, field), "%s", reason)
	}
}

// checkName checks that a name is set and unique, and records it in seen.
func (k *checker) checkName(seen map[string]bool, list string, index int, name string) {
	switch {
	case name == "":
		k.addMistake(fieldPath(list, index, "Name"), "a name is needed")
	case seen[name]:
		k.addMistake(fieldPath(list, index, "Name"), "%q is used twice", name)
	}
	seen[name] = true
}

// checkReference checks that a name refers to something that exists.
func (k *checker) checkReference(seen map[string]bool, list string, index int, field, name string) {
	if name == "" || !seen[name] {
		k.addMistake(fieldPath(list, index, field), "%q does not exist", name)
	}
}

func fieldPath(list string, index int, field string) string {
	return fmt.Sprintf("/%s/%d/%s", list, index, field)
}

func isFraction(v float64) bool {
	return v >= 0 && v <= 1
}
