package report

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes the report as plain text.
func (r *Report) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "burn report of %s, from %d hosts\n", r.At.Format("2006-01-02 15:04:05Z"), len(r.Hosts))
	for _, n := range r.silentHosts() {
		fmt.Fprintf(t, "  no answer from %s, its counts are missing: %s\n", n, r.Silent[n])
	}
	if len(r.Replaced) > 0 {
		fmt.Fprintf(t, "  with kept counts of replaced processes: %s\n", strings.Join(r.Replaced, ", "))
	}
	if r.Unkept != "" {
		fmt.Fprintf(t, "  counts of replaced processes are missing: %s\n", r.Unkept)
	}
	fmt.Fprintf(t, "\nalerts: %d\n", len(r.Alerts))
	for _, a := range r.Alerts {
		fmt.Fprintf(t, "  %s\n", a)
	}
	r.writeBudgets(t)
	r.writeMeasures(t)
	return t.Flush()
}

// silentHosts returns the names of the hosts that did not respond, sorted.
func (r *Report) silentHosts() []string {
	var n []string
	for k := range r.Silent {
		n = append(n, k)
	}
	sort.Strings(n)
	return n
}

func (r *Report) writeBudgets(w io.Writer) {
	fmt.Fprint(w, "\nerror budgets burnt (1 uses the budget up exactly)\nSERVICE\tOBJECTIVE\tACCOUNT\tREGION") //nolint:errcheck // Flush returns the error
	for _, d := range Windows {
		fmt.Fprintf(w, "\t%s", formatWindow(d))
	}
	fmt.Fprintln(w, "\tBAD/ALL")
	for _, b := range r.Budgets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", b.Service, b.Objective, orDefault(b.Account, "all"), orDefault(b.Region, "all"))
		for _, v := range b.Rates {
			fmt.Fprintf(w, "\t%.2f", v.Burn)
		}
		l := b.Rates[len(b.Rates)-1]
		fmt.Fprintf(w, "\t%d/%d %s\n", l.Bad, l.Total, b.Alert)
	}
}

func (r *Report) writeMeasures(w io.Writer) {
	fmt.Fprintln(w, "\nACCOUNT\tANSWERED\tLEFT\tFAILED\tREFUSED INSIDE\tOVER RATE\tOF THESE WRONGFUL")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", a.Account, a.Answered, a.Left, a.Failed, a.Inside, a.OverRate, a.Wrongful)
	}
	fmt.Fprintln(w, "\nWORST SERVED\tACCOUNT\tGOT OF ITS DUE\tPROMISED")
	for _, v := range r.Worst {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f %s\n", v.Service, v.Account, v.Served, v.Target, targetLabel(v.Met))
	}
	fmt.Fprintln(w, "\nHEADROOM\tREGION\tFREE\tPROMISED")
	for _, v := range r.Headroom {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f %s\n", v.Service, v.Region, v.Free, v.Target, targetLabel(v.Met))
	}
	fmt.Fprintln(w, "\nLATENCY, LAST HOUR\tANSWERS\tP50\tP90\tP99\tP99.9\tPROMISED")
	for _, v := range r.Latencies {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s for %g\n", v.Service, v.Answers, v.P50, v.P90, v.P99, v.P999, v.Target, v.TargetFraction)
	}
	fmt.Fprintln(w, "\nDRAIN\tHOST\tTOOK\tPROMISED")
	for _, v := range r.Drains {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s %s\n", v.Backend, v.Host, v.Took, v.Target, targetLabel(v.Met))
	}
}

// formatWindow formats whole hours and minutes without trailing zero units, such
// as 6h instead of 6h0m0s.
func formatWindow(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

func targetLabel(ok bool) string {
	if ok {
		return "met"
	}
	return "MISSED"
}

func orDefault(s, d string) string {
	if s == "" {
		return d
	}
	return s
}
