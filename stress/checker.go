package stress

import (
	"fmt"
	"strings"
	"sync"

	"celeryreach.example/celeryreach/outcome"
)

// attemptResult is the result of one attempt as its caller sees it.
type attemptResult struct {
	id            string // identifies the attempt in the records of the backend servers
	request       string // name of the request, shared by all its attempts
	atMostOnce    bool   // the request must not run twice
	reportedRan   string // the value of Ran that the caller received; empty if none
	responseError string // what is wrong with the response; empty if nothing
}

// checker collects the results of all attempts and checks them against the runs
// that the backend servers recorded.
type checker struct {
	mu            sync.Mutex
	results       []attemptResult
	outcomeCounts map[string]int
}

func (j *checker) add(c attemptResult, end string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outcomeCounts == nil {
		j.outcomeCounts = make(map[string]int)
	}
	j.outcomeCounts[end]++
	j.results = append(j.results, c)
}

// findViolations compares the results with the number of runs of each attempt
// and returns a description of each violation.
func (j *checker) findViolations(runs map[string]int) []string {
	var r []string
	n := make(map[string]int)
	for _, c := range j.results {
		if c.responseError != "" {
			r = append(r, fmt.Sprintf("%s: %s", c.id, c.responseError))
		}
		if c.reportedRan == outcome.RanNo && runs[c.id] > 0 {
			r = append(r, fmt.Sprintf("%s was reported as \"not run\" but ran %d times", c.id, runs[c.id]))
		}
		if c.atMostOnce {
			n[c.request] += runs[c.id]
		}
	}
	for k, v := range n {
		if v > 1 {
			r = append(r, fmt.Sprintf("%s ran %d times", k, v))
		}
	}
	for _, c := range j.results {
		if c.atMostOnce && c.reportedRan == outcome.RanYes && n[c.request] == 0 {
			r = append(r, fmt.Sprintf("%s was answered but did not run", c.id))
		}
	}
	return r
}

// checkResponse returns what is wrong with a response, or an empty string. A
// correct response names its request on the first line and ends with a dot.
func checkResponse(b, method, target, digest string) string {
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
