package stress

import (
	"fmt"
	"strings"
	"sync"

	"celeryreach.example/celeryreach/outcome"
)

// claim is what one attempt of a caller ended with.
type claim struct {
	id      string // of the attempt, as the backend server sees it
	request string // the same for all attempts of one request
	once    bool   // it must not run twice
	ran     string // what the caller was told
	fault   string // what was wrong with the answer itself
}

// judge collects the claims and the ends of all attempts.
type judge struct {
	mu     sync.Mutex
	claims []claim
	ends   map[string]int
}

func (j *judge) add(c claim, end string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ends == nil {
		j.ends = make(map[string]int)
	}
	j.ends[end]++
	j.claims = append(j.claims, c)
}

// verdict compares the claims with the runs of each attempt.
func (j *judge) verdict(runs map[string]int) []string {
	var r []string
	n := make(map[string]int)
	for _, c := range j.claims {
		if c.fault != "" {
			r = append(r, fmt.Sprintf("%s: %s", c.id, c.fault))
		}
		if c.ran == outcome.RanNo && runs[c.id] > 0 {
			r = append(r, fmt.Sprintf("%s was told \"not run\" and ran %d times", c.id, runs[c.id]))
		}
		if c.once {
			n[c.request] += runs[c.id]
		}
	}
	for k, v := range n {
		if v > 1 {
			r = append(r, fmt.Sprintf("%s ran %d times", k, v))
		}
	}
	for _, c := range j.claims {
		if c.once && c.ran == outcome.RanYes && n[c.request] == 0 {
			r = append(r, fmt.Sprintf("%s was answered and has not run", c.id))
		}
	}
	return r
}

// whole returns what is wrong with an answer: it names its request, and it
// ends with a dot.
func whole(b, method, target, digest string) string {
	h, _, ok := strings.Cut(b, "\n")
	w := fmt.Sprintf(" %s %s %s", method, target, digest)
	if !ok || !strings.HasSuffix(h, w) {
		return fmt.Sprintf("the answer belongs to another request: %.120q", h)
	}
	if !strings.HasSuffix(b, ".") {
		return "the answer is not whole"
	}
	return ""
}
