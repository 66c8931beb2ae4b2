package capacity

import (
	"runtime"

	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/delta"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/entitlement"
	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/validate"
	"celeryreach.example/celeryreach/wire"
)

// Names of the measured costs. They are printed as row names of the capacity page.
const (
	heartbeatBytes = "heartbeat, bytes by peers named"
	heartbeatTime  = "heartbeat written and read, by peers named"
	demandBytes    = "heartbeat, bytes by accounts with demand"
	divisionBytes  = "division, bytes by parts"
	divisionTime   = "division read and taken, by parts"
	snapshotBytes  = "configuration in memory, by accounts"
	readTime       = "configuration read and indexed, by accounts"
	validateTime   = "configuration checked, by accounts"
	deltaTime      = "delta applied, by accounts"
	blockBytes     = "client blocks in memory, by blocks"
	blockTime      = "client block found, by blocks"
	blockChange    = "client block changed, by blocks"
	rosterTime     = "roster of hosts made, by hosts"
	lookupTime     = "look-up answered, by hosts"
	admitTime      = "request admitted, by accounts"
	admitBytes     = "admission in memory, by accounts"
	loadSumTime    = "loads summed up, by hosts"
	ticketBytes    = "used tickets in memory, by tickets"
	recordBytes    = "record of a request, bytes by answer bytes"
	deltaWireBytes = "delta, bytes by accounts"
	contentBytes   = "configuration, bytes by accounts"
	countBytes     = "counts of a minute in memory, by accounts busy each second"
	waitBytes      = "queue in memory, by waiting requests"
	waitTime       = "request queued and taken out, by waiting requests"
	pickTime       = "backend server picked, by backend servers"
	memberBytes    = "member of the roster, bytes by hosts"
)

// sizes returns the sizes to measure at, reduced to a hundredth in short mode.
func (c *Capacity) sizes(s ...int) []int {
	if !c.Short {
		return s
	}
	r := make([]int, len(s))
	for i := range s {
		r[i] = max(i+1, s[i]/100)
	}
	return r
}

func (c *Capacity) measurements() []measurement.Measurement {
	f := c.sizes(10, 100, 1_000)
	m := c.sizes(1_000, 10_000, 100_000)
	b := c.sizes(22_000, 220_000, 2_200_000)
	return []measurement.Measurement{
		{Name: heartbeatBytes, Unit: "B", Per: "peers", Sizes: f, Measure: func(n int) float64 { return float64(proto.Size(newHeartbeat(n, 0))) }},
		{Name: heartbeatTime, Unit: "ns", Per: "peers", Sizes: f, Measure: c.heartbeatTime},
		{Name: demandBytes, Unit: "B", Per: "accounts", Sizes: f, Measure: func(n int) float64 { return float64(proto.Size(newHeartbeat(0, n))) }},
		{Name: divisionBytes, Unit: "B", Per: "parts", Sizes: f, Measure: func(n int) float64 { return float64(len(mustMarshal(newDivision(n)))) }},
		{Name: divisionTime, Unit: "ns", Per: "parts", Sizes: f, Measure: c.divisionTime},
		{Name: snapshotBytes, Unit: "B", Per: "accounts", Sizes: m, Measure: snapshotSize},
		{Name: readTime, Unit: "ns", Per: "accounts", Sizes: m, Measure: c.readTime},
		{Name: validateTime, Unit: "ns", Per: "accounts", Sizes: m, Measure: func(n int) float64 {
			v := newConfig(n)
			return measurement.Time(c.Clock, func() { validate.Config(v) })
		}},
		{Name: deltaTime, Unit: "ns", Per: "accounts", Sizes: m, Measure: c.deltaTime},
		{Name: deltaWireBytes, Unit: "B", Per: "accounts", Sizes: m, Measure: func(n int) float64 { return float64(len(newConfigChange(n).delta)) }},
		{Name: contentBytes, Unit: "B", Per: "accounts", Sizes: m, Measure: func(n int) float64 { return float64(len(mustMarshal(newConfig(n)))) }},
		{Name: blockBytes, Unit: "B", Per: "blocks", Sizes: b, Measure: blockSize},
		{Name: blockTime, Unit: "ns", Per: "blocks", Sizes: b, Measure: c.blockTime},
		{Name: blockChange, Unit: "ns", Per: "blocks", Sizes: b, Measure: c.blockChange},
		{Name: rosterTime, Unit: "ns", Per: "hosts", Sizes: f, Measure: c.rosterTime},
		{Name: memberBytes, Unit: "B", Per: "hosts", Sizes: f, Measure: func(n int) float64 {
			return measurement.Bytes(func() any { return roster.New(members(n), slotsPerService) })
		}},
		{Name: lookupTime, Unit: "ns", Per: "hosts", Sizes: f, Measure: c.lookupTime},
		{Name: admitTime, Unit: "ns", Per: "accounts", Sizes: m, Measure: c.admitTime},
		{Name: admitBytes, Unit: "B", Per: "accounts", Sizes: m, Measure: c.admitSize},
		{Name: loadSumTime, Unit: "ns", Per: "hosts", Sizes: f, Measure: c.loadSumTime},
		{Name: ticketBytes, Unit: "B", Per: "tickets", Sizes: m, Measure: c.ticketSize},
		{Name: waitBytes, Unit: "B", Per: "requests", Sizes: m, Measure: c.waitSize},
		{Name: waitTime, Unit: "ns", Per: "requests", Sizes: m, Measure: c.waitTime},
		{Name: pickTime, Unit: "ns", Per: "backend servers", Sizes: c.sizes(12, 40, 120), Measure: c.pickTime},
		{Name: countBytes, Unit: "B", Per: "accounts", Sizes: f, Measure: countSize},
		{Name: placeTime, Unit: "ns", Per: "backend servers", Sizes: c.sizes(12, 40, 120), Measure: c.placeTime},
		{Name: listTime, Unit: "ns", Per: "backend servers", Sizes: f, Measure: c.listTime},
		{Name: tokenBytes, Unit: "B", Per: "accounts", Sizes: f, Measure: func(n int) float64 {
			return measurement.Bytes(func() any { return c.newTokens(n) })
		}},
		{Name: tokenTime, Unit: "ns", Per: "accounts", Sizes: f, Measure: c.tokenTime},
		{Name: recordBytes, Unit: "B", Per: "answer bytes", Sizes: f, Measure: func(n int) float64 { return float64(len(mustMarshal(newRecord(n)))) }},
	}
}

func (c *Capacity) heartbeatTime(n int) float64 {
	h := newHeartbeat(n, 0)
	return measurement.Time(c.Clock, func() {
		b, err := proto.Marshal(h)
		if err != nil {
			panic(err) // the fixture is a valid message
		}
		if err := proto.Unmarshal(b, new(wire.Heartbeat)); err != nil {
			panic(err) // the bytes were encoded above
		}
	})
}

// divisionTime measures how long a host takes to decode and apply a division whose
// epoch is new to the host.
func (c *Capacity) divisionTime(n int) float64 {
	b := mustMarshal(newDivision(n))
	h := &entitlement.Entitlement{Clock: c.Clock, Self: newHolder(0), Hold: holdTime, StoreHold: holdTime, TickInterval: heartbeatInterval}
	e := uint64(0)
	return measurement.Time(c.Clock, func() {
		var d division.Division
		if err := codec.Unmarshal(b, &d); err != nil {
			panic(err) // the bytes were encoded above
		}
		e++
		d.Epoch = e
		h.ApplyDivision(d, c.Clock.Now())
	})
}

func snapshotSize(n int) float64 {
	return measurement.Bytes(func() any { return snapshot.New(newConfig(n), "") })
}

// readTime measures how long a host takes to decode and index a complete
// configuration. Every host does this for each new version.
func (c *Capacity) readTime(n int) float64 {
	b := mustMarshal(newConfig(n))
	return measurement.Time(c.Clock, func() {
		v := new(config.Config)
		if err := codec.Unmarshal(b, v); err != nil {
			panic(err) // the bytes were encoded above
		}
		snapshot.New(v, "")
	})
}

// configChange is an encoded configuration and the delta that changes one of its
// accounts.
type configChange struct {
	before []byte
	delta  []byte
}

func newConfigChange(n int) configChange {
	v := newConfig(n)
	a := mustMarshal(v)
	v.Accounts[n/2].Rate++
	return configChange{before: a, delta: delta.Make(a, mustMarshal(v))}
}

func (c *Capacity) deltaTime(n int) float64 {
	v := newConfigChange(n)
	return measurement.Time(c.Clock, func() {
		if _, err := delta.Apply(v.before, v.delta); err != nil {
			panic(err) // the delta was made from this configuration
		}
	})
}

func blockSize(n int) float64 {
	return measurement.Bytes(func() any { return newBlocks(n) })
}

func (c *Capacity) blockTime(n int) float64 {
	t := newBlocks(n)
	i := 0
	d := measurement.Time(c.Clock, func() {
		i += 7919 // a prime stride, to avoid cache hits
		t.Find(blockAddress(i % n))
	})
	runtime.KeepAlive(t)
	return d
}

func (c *Capacity) blockChange(n int) float64 {
	t := newBlocks(n)
	b := newBlock(n / 2)
	return measurement.Time(c.Clock, func() {
		if err := t.Change([]block.Block{b}, nil); err != nil {
			panic(err) // the table already contains this block, so the block is valid
		}
	})
}
