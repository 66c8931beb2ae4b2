// Package explain follows one request through the logs of many hosts.
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

// field matches one key=value of a log line; a value with blanks is quoted.
var field = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Explain collects the lines of one request, and what the hosts that had it
// believed meanwhile.
type Explain struct {
	// Request is the request's id.
	Request string

	lines []line
}

// line is one line of one host's log.
type line struct {
	order  int
	source string
	text   string
	msg    string
	fields map[string]string
}

// believed are the events that change what a host believes, and by which field
// of a request's line they concern it; an empty one concerns all.
var believed = map[string]string{
	"configuration in force":         "",
	"store lost":                     "",
	"changes may be unheard":         "",
	"changes are heard":              "",
	"store regained":                 "",
	"store asked again":              "",
	"copy taken from another host":   "",
	"host started":                   "",
	"host leaves":                    "",
	"peer silent":                    "",
	"backend server leaves":          "Backend",
	"backend server is gone":         "Backend",
	"backend server ejected":         "Backend",
	"backend server is cold":         "Backend",
	"backend server appeared":        "Backend",
	"backend server limited":         "Backend",
	"backend server limit withdrawn": "Backend",
	"backend server is missing after an outage of the store": "Backend",
}

// Read takes the log of one source, in the order in which it was written. What
// a collector puts before a line is left in place.
func (e *Explain) Read(source string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		l := line{order: len(e.lines), source: source, text: s.Text(), fields: make(map[string]string)}
		for _, m := range field.FindAllStringSubmatch(l.text, -1) {
			l.fields[m[1]] = strings.Trim(m[2], `"`)
		}
		l.msg = l.fields["msg"]
		// A collector may put all hosts into one file; its first words tell
		// them apart.
		if i := strings.Index(l.text, "time="); i > 0 {
			l.source += " " + host(l.text[:i])
		}
		e.lines = append(e.lines, l)
	}
	return errors.Wrap(s.Err(), source)
}

// host returns the last word that a collector put before a line.
func host(prefix string) string {
	w := strings.Fields(prefix)
	if len(w) == 0 {
		return ""
	}
	return w[len(w)-1]
}

// Write tells the story: for each host that had the request, the last event of
// each kind before its first line, and then its lines.
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
			if err := e.before(w, v, backends(l, v.source)); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %s\n", v.text); err != nil {
			return errors.Wrap(err, "explain")
		}
	}
	return nil
}

// before tells what the host of a line believed when it came.
func (e *Explain) before(w io.Writer, first line, about map[string]bool) error {
	m := make(map[string]line)
	for _, v := range e.lines[:first.order] {
		f, ok := believed[v.msg]
		if v.source != first.source || !ok || f != "" && !about[v.fields[f]] {
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

// backends are those that a host's lines of the request name.
func backends(l []line, source string) map[string]bool {
	r := make(map[string]bool)
	for _, v := range l {
		if v.source == source && v.fields["Backend"] != "" {
			r[v.fields["Backend"]] = true
		}
	}
	return r
}
