package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/simulation"
	"celeryreach.example/celeryreach/table"
)

const (
	near       = 500 * time.Microsecond
	sameRegion = 500 * time.Microsecond
	// load is the part of its rate that an account offers on an ordinary day.
	load = 0.6
	// home is the part of an account's requests that one region receives.
	home    = 0.6
	maxWait = time.Second
	regions = 3
)

// play is one run.
type play struct {
	simulation *simulation.Simulation
	config     *config.Config
	size       deployment
	way        way
	random     *rand.Rand
	region     []int // by process
	names      []string
	current    []int       // process by place
	weights    [][]float64 // by account, then place
	offers     []*offer
	fixed      *fixed
	out        bool
	cut        bool
	ended      bool
	event      time.Time
	result     result
}

func newPlay(seed uint64, d deployment, w way) *play {
	p := &play{size: d, way: w, random: random(seed, 1)}
	p.config = newConfig(d)
	p.simulation = &simulation.Simulation{
		Hold: 3 * time.Second, StoreHold: time.Hour, Heartbeat: d.heartbeat, Poll: time.Second, Least: 5 * time.Second,
		Config: p.config, Table: new(table.Table), Random: random(seed, 2), Delay: p.delay, Store: p.store,
	}
	p.fixed = &fixed{play: p}
	p.simulation.Fixed = w.grants(p.fixed)
	for r, n := range d.perRegion {
		for i := range n {
			p.add(fmt.Sprintf("%s-%d", d.regions[r], i), r, i%2)
		}
	}
	p.weigh()
	for i, a := range p.config.Accounts {
		p.offers = append(p.offers, newOffer(a, i))
	}
	if w.start != nil {
		w.start(p.fixed)
	}
	return p
}

func newConfig(d deployment) *config.Config {
	c := &config.Config{Preset: "Ordinary", Presets: []preset.Preset{{Name: "Ordinary", FloorFraction: 0.5}}}
	for _, r := range d.regions {
		for i := range 2 {
			c.Domains = append(c.Domains, domain.Domain{Name: fmt.Sprintf("%s-%d", r, i), Region: r})
		}
	}
	for i, r := range d.rates {
		c.Accounts = append(c.Accounts, account.Account{Name: fmt.Sprintf("account-%d", i), Rate: r, Burst: max(r/2, 20)})
	}
	return c
}

func (p *play) add(name string, region, domain int) int {
	r := p.size.regions[region]
	n := p.simulation.Add(name, fmt.Sprintf("%s-%d", r, domain), r, 1+(p.random.Float64()-0.5)/1000)
	p.region = append(p.region, region)
	p.names = append(p.names, name)
	p.current = append(p.current, n)
	return n
}

// weigh draws where the requests of each account come in.
func (p *play) weigh() {
	for a := range p.config.Accounts {
		w := make([]float64, len(p.current))
		s := make([]float64, regions)
		for i := range w {
			w[i] = 0.2 + p.random.Float64()
			s[p.region[i]] += w[i]
		}
		for i := range w {
			f := (1 - home) / (regions - 1)
			if p.region[i] == a%regions {
				f = home
			}
			w[i] *= f / s[p.region[i]]
		}
		p.weights = append(p.weights, w)
	}
}

func (p *play) delay(from, to int) (time.Duration, bool) {
	f, t := p.region[from], p.region[to]
	if p.cut && (f == 2) != (t == 2) {
		return 0, false
	}
	if f == t {
		return near, true
	}
	return p.size.far, true
}

// store plays the table, which stands in the first region.
func (p *play) store(host int) (reached, answered bool) {
	ok := !p.out && (!p.cut || p.region[host] != 2)
	return ok, ok
}

func (p *play) operations() uint64 {
	r, w := p.simulation.Table.Operations()
	return r + w + p.fixed.operations
}

func (p *play) rowBytes() int {
	return len(p.simulation.Table.Read(division.RowKey).Value)
}

func (p *play) kill(place int) {
	p.simulation.Kill(p.current[place])
}

func (p *play) killRegion(r int) {
	for i, n := range p.current {
		if p.region[n] == r {
			p.kill(i)
		}
	}
}

// replace starts a process of the same name.
func (p *play) replace(place int) {
	o := p.current[place]
	n := p.add(p.names[o], p.region[o], place%2)
	p.current[place] = n
	p.current = p.current[:len(p.current)-1]
}
