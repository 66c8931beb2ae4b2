package capacity

import "fmt"

const (
	// startSpreadSeconds is the interval over which hosts that start at the same
	// time spread their first reads, each at a random moment.
	startSpreadSeconds = 30.0
	// objectBytesPerSecond is the throughput of one object store connection.
	objectBytesPerSecond = 50 << 20
)

// printWorstCases prints the load that the worst events put on the platform and
// on other hosts.
func (c *Capacity) printWorstCases() {
	t := c.Target
	d := t.Hosts / t.Domains
	o := c.costAt(contentBytes, clientAccounts)
	fmt.Fprintln(c.Out, "| event | what it asks of the platform and of peers | carried by |")
	fmt.Fprintln(c.Out, "|---|---|---|")
	fmt.Fprintf(c.Out, "| a domain of %.0f hosts restarts at once | %.0f first reads/s over %.0f s; %s of configuration for each host, %s in all, %s a host from a peer | first reads spread at random; content from peers, %d hosts read the object |\n",
		d, 2*d/startSpreadSeconds, startSpreadSeconds, formatBytes(o), formatBytes(o*d), formatNanoseconds(o/objectBytesPerSecond*nanosPerSecond), pollersPerDomain)
	fmt.Fprintf(c.Out, "| regions hear each other again | one division a domain: %.0f commits; changes made meanwhile as deltas: %.0f for ten minutes, %s a host | no host was told to stop; the higher version wins |\n",
		t.Domains, 600*t.Changes, formatBytes(600*t.Changes*changeBytes))
	fmt.Fprintf(c.Out, "| the store is back after an hour | %.0f reads/s by pollers as ever; %.0f commits of divisions; ended records of callers' own ids: %.0f rows at most from before, in commits of 32 | only pollers and authors ask, with the pace they always have |\n",
		t.Domains*pollersPerDomain, t.Domains, float64(idempotencyIDRequests))
	fmt.Fprintf(c.Out, "| all hosts ask the store at once | %.0f reads/s would take %.1f s of its %.0f reads/s | they do not: two hosts a domain do |\n",
		t.Hosts, t.Hosts/t.StoreReads, t.StoreReads)
}
