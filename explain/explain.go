// Package explain reconstructs the handling of one request from the logs of many hosts.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// fieldPattern matches one key=value pair of a log line. A value with spaces is quoted.
var fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Explain collects the log lines of one request, and the preceding lines that show the
// state of each host that handled it.
type Explain struct {
	// Request is the id of the request.
	Request string

	lines []line
}

// line is one log line of one host.
type line struct {
	order  int
	source string
	text   string
	msg    string
	fields map[string]string
}

// stateEvents are the messages of events that change the state of a host. Each maps to
// the field that must match a line of the request for the event to be relevant; an
// empty field makes the event relevant to all requests.
var stateEvents = map[string]string{
	"configuration in force":           "",
	"store lost":                       "",
	"changes may be unheard":           "",
	"changes are heard":                "",
	"store regained":                   "",
	"store asked again":                "",
	"copy taken from another host":     "",
	"change arrived late":              "",
	"host started":                     "",
	"host leaves":                      "",
	"peer silent":                      "",
	"backend server leaves":            "Backend",
	"backend server tried again":       "Backend",
	"backend server is gone":           "Backend",
	"backend server ejected":           "Backend",
	"backend server is cold":           "Backend",
	"backend server appeared":          "Backend",
	"backend server limited":           "Backend",
	"backend server limit withdrawn":   "Backend",
	"backend server wants no requests": "Service",
	"backend server used again":        "Service",
	"backend server is missing after an outage of the store": "Backend",
}

// Read reads the log of one source, in the order in which it was written. Prefixes that
// a log collector puts before a line are kept in the output.
func (e *Explain) Read(source string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		l := line{order: len(e.lines), source: source, text: s.Text(), fields: make(map[string]string)}
		for _, m := range fieldPattern.FindAllStringSubmatch(l.text, -1) {
			l.fields[m[1]] = strings.Trim(m[2], `"`)
		}
		l.msg = l.fields["msg"]
		// A collector may merge the logs of all hosts into one file. The prefix then
		// identifies the host.
		if i := strings.Index(l.text, "time="); i > 0 {
			l.source += " " + collectorHost(l.text[:i])
		}
		e.lines = append(e.lines, l)
	}
	return errors.Wrap(s.Err(), source)
}

// collectorHost returns the host name from a collector's prefix, which is its last
// word.
func collectorHost(prefix string) string {
	w := strings.Fields(prefix)
	if len(w) == 0 {
		return ""
	}
	return w[len(w)-1]
}

// Write writes the explanation. For each host that handled the request, it writes the
// last state event of each kind before the host's first line of the request, and then
// the host's lines of the request.
func (e *Explain) Write(w io.Writer) error {
	var l []line
	for _, v := range e.lines {
		if v.fields["Request"] == e.Request {
			l = append(l, v)
		}
	}
	if len(l) == 0 {
		_, err := fmt.Fprintf(w, "no line of request %s: it went well and was not sampled, or the lines were dropped, or no host had it\n", e.Request)
		return errors.Wrap(err, "explain")
	}
	d := make(map[string]bool)
	for _, v := range l {
		if !d[v.source] {
			d[v.source] = true
			if err := e.writeStateBefore(w, v, named(l, v.source)); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %s\n", v.text); err != nil {
			return errors.Wrap(err, "explain")
		}
	}
	return nil
}

// writeStateBefore writes the events that describe the host's state before its first
// line of the request. Events of a backend server are included only if named contains
// the backend server or its service.
func (e *Explain) writeStateBefore(w io.Writer, first line, named map[string]bool) error {
	m := make(map[string]line)
	for _, v := range e.lines[:first.order] {
		f, ok := stateEvents[v.msg]
		if v.source != first.source || !ok || f != "" && !named[v.fields[f]] {
			continue
		}
		m[v.msg+v.fields["Table"]+v.fields["Backend"]] = v
	}
	var l []line
	for _, v := range m {
		l = append(l, v)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].order < l[j].order })
	_, err := fmt.Fprintf(w, "%s believed:\n", strings.TrimSpace(first.source))
	for _, v := range l {
		if err == nil {
			_, err = fmt.Fprintf(w, "  %s\n", v.text)
		}
	}
	if err == nil {
		_, err = fmt.Fprintln(w, "and decided:")
	}
	return errors.Wrap(err, "explain")
}

// named returns the backend servers and the service named in a host's lines of the
// request.
func named(l []line, source string) map[string]bool {
	r := make(map[string]bool)
	for _, v := range l {
		if v.source != source {
			continue
		}
		for _, f := range []string{"Backend", "Service"} {
			if v.fields[f] != "" {
				r[v.fields[f]] = true
			}
		}
	}
	return r
}
