package report_test

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/burnpage"
	"celeryreach.example/celeryreach/completeddrain"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/document"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/objective"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/report"
	"celeryreach.example/celeryreach/requestcounts"
	"celeryreach.example/celeryreach/secondcount"
	"celeryreach.example/celeryreach/usage"
)

var now = time.Date(2026, 3, 1, 12, 0, 30, 0, time.UTC)

// Each script holds a configuration, the counts of the hosts and the expected
// report. UPDATE=1 rewrites the reports.
func TestReports(t *testing.T) {
	f, err := filepath.Glob("testdata/*.txtar")
	must.NoError(t, err)
	must.Positive(t, len(f))
	for _, n := range f {
		t.Run(filepath.Base(n), func(t *testing.T) {
			a, err := txtar.ParseFile(n)
			must.NoError(t, err)
			d, err := document.Parse(a.Files[0].Data)
			must.NoError(t, err)
			var c config.Config
			must.SliceEmpty(t, d.Decode(&c))
			r := report.Build(&c, parseCounts(t, string(a.Files[1].Data)), now)
			var b bytes.Buffer
			must.NoError(t, r.Text(&b))
			if os.Getenv("UPDATE") != "" {
				a.Files[2].Data = b.Bytes()
				must.NoError(t, os.WriteFile(n, txtar.Format(a), 0o600))
			}
			must.Eq(t, string(a.Files[2].Data), b.String())
			var p bytes.Buffer
			must.NoError(t, burnpage.Write(&p, r))
			must.Eq(t, 3, strings.Count(p.String(), "</svg>"))
			must.StrNotContains(t, p.String(), "src=")
		})
	}
}

// parseCounts parses the counts of all hosts. A line "host NAME REGION" starts a
// host. Minutes and seconds are given as offsets into the past from now.
func parseCounts(t *testing.T, text string) []hostcounts.Hostcounts {
	t.Helper()
	var r []hostcounts.Hostcounts
	s := bufio.NewScanner(strings.NewReader(text))
	for s.Scan() {
		w, a, _ := strings.Cut(s.Text(), " ")
		var h *hostcounts.Hostcounts
		if len(r) > 0 {
			h = &r[len(r)-1]
		}
		var from, to int64
		var err error
		switch w {
		case "host":
			v := hostcounts.Hostcounts{}
			_, err = fmt.Sscan(a, &v.Host, &v.Region)
			r = append(r, v)
		case "tally": // minutes from to, account, service, answered timely left failed inside overrate
			var v requestcounts.Requestcounts
			_, err = fmt.Sscan(a, &from, &to, &v.Account, &v.Service, &v.Answered, &v.Timely, &v.Left, &v.Failed, &v.Inside, &v.OverRate)
			for m := from; m >= to; m-- {
				v.Minute = now.Unix()/60 - m
				h.Tallies = append(h.Tallies, v)
			}
		case "second": // seconds from to, account, admitted refused
			var v secondcount.Secondcount
			_, err = fmt.Sscan(a, &from, &to, &v.Account, &v.Admitted, &v.Refused)
			for m := from; m >= to; m-- {
				v.Second = now.Unix() - m
				h.Seconds = append(h.Seconds, v)
			}
		case "usage":
			v := usage.Usage{Minute: now.Unix() / 60}
			_, err = fmt.Sscan(a, &v.Service, &v.Slots, &v.Busy)
			h.Usages = append(h.Usages, v)
		case "drain":
			v := completeddrain.Completeddrain{At: now}
			var d string
			_, err = fmt.Sscan(a, &v.Backend, &d)
			must.NoError(t, err)
			v.Took, err = time.ParseDuration(d)
			h.Drains = append(h.Drains, v)
		}
		must.NoError(t, err)
	}
	return r
}

// BenchmarkBuild builds the report of 11 hosts with 8 accounts and 4 services that
// were busy for six hours.
func BenchmarkBuild(b *testing.B) {
	c := config.Config{Regions: []region.Region{{Name: "north"}, {Name: "south"}, {Name: "west"}}}
	all := make([]hostcounts.Hostcounts, 11)
	for i := range all {
		all[i] = hostcounts.Hostcounts{Host: fmt.Sprint("h", i), Region: c.Regions[i%3].Name}
	}
	for v := range 4 {
		s := fmt.Sprint("service-", v)
		c.Objectives = append(c.Objectives, objective.Objective{Service: s, Latency: time.Second, LatencyFraction: 0.99, WholeFraction: 0.999, WrongfulFraction: 0.001, WorstShare: 0.8, Headroom: 0.2})
	}
	for a := range 8 {
		n := fmt.Sprint("account-", a)
		c.Accounts = append(c.Accounts, account.Account{Name: n, Rate: 10, Burst: 10})
		for i := range all {
			for m := range int64(360) {
				for _, o := range c.Objectives {
					all[i].Tallies = append(all[i].Tallies, requestcounts.Requestcounts{Minute: now.Unix()/60 - m, Account: n, Service: o.Service, Answered: 10, Timely: 9, OverRate: 2})
				}
			}
			for t := range int64(3600) {
				all[i].Seconds = append(all[i].Seconds, secondcount.Secondcount{Second: now.Unix() - t, Account: n, Admitted: 1, Refused: 1})
			}
		}
	}
	for b.Loop() {
		report.Build(&c, all, now)
	}
}
