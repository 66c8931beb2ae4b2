package quotaexperiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/simulation"
)

const (
	withinRegionDelay = 500 * time.Microsecond
	sameRegion        = 500 * time.Microsecond
	// ordinaryLoad is the fraction of its rate that an account offers without
	// overload.
	ordinaryLoad = 0.6
	// homeShare is the fraction of an account's requests that one region
	// receives.
	homeShare = 0.6
	maxWait   = time.Second
	regions   = 3
)

// trial is one run of a scenario.
type trial struct {
	simulation  *simulation.Simulation
	config      *config.Config
	deployment  deployment
	method      divisionMethod
	random      *rand.Rand
	region      []int // by process number
	names       []string
	current     []int       // process number by position in the deployment
	weights     [][]float64 // by account, then position
	loads       []*accountLoad
	baseline    *baseline
	storeDown   bool
	partitioned bool
	ended       bool
	faultAt     time.Time
	result      result
}

func newTrial(seed uint64, d deployment, w divisionMethod) *trial {
	p := &trial{deployment: d, method: w, random: random(seed, 1)}
	p.config = newConfig(d)
	p.simulation = &simulation.Simulation{
		Hold: 3 * time.Second, StoreHold: time.Hour, Heartbeat: d.heartbeat, Poll: time.Second, MinEpochInterval: 5 * time.Second,
		Config: p.config, Table: new(memorytable.Memorytable), Random: random(seed, 2), Delay: p.delay, Store: p.store,
	}
	p.baseline = &baseline{trial: p}
	p.simulation.FixedGrant = w.grants(p.baseline)
	for r, n := range d.perRegion {
		for i := range n {
			p.add(fmt.Sprintf("%s-%d", d.regions[r], i), r, i%2)
		}
	}
	p.drawWeights()
	for i, a := range p.config.Accounts {
		p.loads = append(p.loads, newAccountLoad(a, i))
	}
	if w.start != nil {
		w.start(p.baseline)
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

func (p *trial) add(name string, region, domain int) int {
	r := p.deployment.regions[region]
	n := p.simulation.Add(name, fmt.Sprintf("%s-%d", r, domain), r, 1+(p.random.Float64()-0.5)/1000)
	p.region = append(p.region, region)
	p.names = append(p.names, name)
	p.current = append(p.current, n)
	return n
}

// drawWeights draws the entry hosts' shares of each account's requests.
func (p *trial) drawWeights() {
	for a := range p.config.Accounts {
		w := make([]float64, len(p.current))
		s := make([]float64, regions)
		for i := range w {
			w[i] = 0.2 + p.random.Float64()
			s[p.region[i]] += w[i]
		}
		for i := range w {
			f := (1 - homeShare) / (regions - 1)
			if p.region[i] == a%regions {
				f = homeShare
			}
			w[i] *= f / s[p.region[i]]
		}
		p.weights = append(p.weights, w)
	}
}

func (p *trial) delay(from, to int) (time.Duration, bool) {
	f, t := p.region[from], p.region[to]
	if p.partitioned && (f == 2) != (t == 2) {
		return 0, false
	}
	if f == t {
		return withinRegionDelay, true
	}
	return p.deployment.crossRegionDelay, true
}

// store simulates the reachability of the table, which is in the first region.
func (p *trial) store(host int) (reached, answered bool) {
	ok := !p.storeDown && (!p.partitioned || p.region[host] != 2)
	return ok, ok
}

func (p *trial) operations() uint64 {
	r, w := p.simulation.Table.Operations()
	return r + w + p.baseline.operations
}

func (p *trial) rowBytes() int {
	return len(p.simulation.Table.Read(division.RowKey).Value)
}

func (p *trial) kill(place int) {
	p.simulation.Kill(p.current[place])
}

func (p *trial) killRegion(r int) {
	for i, n := range p.current {
		if p.region[n] == r {
			p.kill(i)
		}
	}
}

// replace starts a process under the same name.
func (p *trial) replace(place int) {
	o := p.current[place]
	n := p.add(p.names[o], p.region[o], place%2)
	p.current[place] = n
	p.current = p.current[:len(p.current)-1]
}
