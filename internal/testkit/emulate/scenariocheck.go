package emulate

import (
	"fmt"
)

// scenarioChecker reports the faults of a scenario.
type scenarioChecker struct {
	fault func(key string, read any, allowed string)
}

// within reports a figure outside of its bounds.
func (c scenarioChecker) within(key string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.fault(key, v, fmt.Sprintf("%v to %v", low, high))
	}
}

func (s *Scenario) check(fault func(key string, read any, allowed string)) {
	c := scenarioChecker{fault}
	if s.Version != version {
		fault("version", s.Version, fmt.Sprint(version))
	}
	c.within("length_s", s.Length, 1e-3, mostLength)
	c.within("sidecars", float64(s.Sidecars), 1, mostSidecars)
	s.checkLoad(c)
	s.checkSurroundings(c)
	s.checkClasses(c)
	s.checkNodes(c)
	s.checkFaults(c)
}

func (s *Scenario) checkLoad(c scenarioChecker) {
	if (s.Load.Rate > 0) == (s.Load.Share > 0) {
		c.fault("load.rate", s.Load.Rate, "either rate or share, over 0")
	}
	c.within("load.rate", s.Load.Rate, 0, 1e9)
	c.within("load.share", s.Load.Share, 0, 100)
	c.within("load.factor", s.Load.Factor, 0, 1000)
	switch s.Load.Shape {
	case "steady":
	case "burst", "wave":
		c.within("load.for_s", s.Load.For, 1e-3, mostLength)
		c.within("load.at_s", s.Load.At, 0, s.Length)
		if s.Load.Shape == "wave" {
			c.within("load.factor", s.Load.Factor, 0, 2)
		}
	default:
		c.fault("load.shape", s.Load.Shape, "steady, wave or burst")
	}
}

// checkSurroundings checks the network, the list, the clients and what the sidecars tell each other.
func (s *Scenario) checkSurroundings(c scenarioChecker) {
	c.within("net.delay_ms", s.Net.Delay, 0, mostMillis)
	c.within("net.jitter", s.Net.Jitter, 0, 1)
	c.within("list.delay_ms", s.List.Delay, 0, mostMillis)
	c.within("list.jitter", s.List.Jitter, 0, 1)
	c.within("list.loss", s.List.Loss, 0, 0.99)
	c.within("clients.retries", float64(s.Clients.Retries), 0, 100)
	c.within("clients.backoff_ms", s.Clients.Backoff, 0, mostMillis)
	c.within("clients.honour", s.Clients.Honour, 0, 1)
	c.within("fleet.zones", float64(s.Fleet.Zones), 0, 1000)
	c.within("fleet.delay_ms", s.Fleet.Delay, 0, 1000)
	c.within("fleet.loss", s.Fleet.Loss, 0, 0.9)
	c.within("fleet.liars", s.Fleet.Liars, 0, 1)
	c.within("fleet.verdict_pct", float64(s.Fleet.Pct), 0, 50)
}

func (s *Scenario) checkClasses(c scenarioChecker) {
	if len(s.Classes) == 0 {
		c.fault("class", "missing", "one class at the least")
	}
	names := map[string]bool{}
	for i := range s.Classes {
		class, at := &s.Classes[i], fmt.Sprintf("class[%d].", i)
		if class.Name == "" || names[class.Name] {
			c.fault(at+"name", fmt.Sprintf("%q", class.Name), "a name of its own")
		}
		names[class.Name] = true
		if _, ok := effects[class.Effect]; !ok {
			c.fault(at+"effect", class.Effect, "free, guarded or single_shot")
		}
		if class.Dist != "fixed" && class.Dist != "exp" && class.Dist != "lognormal" {
			c.fault(at+"dist", class.Dist, "fixed, exp or lognormal")
		}
		c.within(at+"share", class.Share, 0, 1e6)
		c.within(at+"work_ms", class.Work, 1e-6, mostMillis)
		c.within(at+"cv", class.CV, 0, 100)
		c.within(at+"deadline_ms", class.Deadline, 1e-3, mostMillis)
		c.within(at+"aim_ms", class.LatencyTarget, 0, class.Deadline)
		c.within(at+"window_ms", class.Window, 0, mostMillis)
		c.within(at+"late_worth", class.LateValue, 0, 1)
		c.within(at+"worth", class.Value, 0, 1e9)
	}
}

func (s *Scenario) checkNodes(c scenarioChecker) {
	all := 0
	for i := range s.Nodes {
		n, at := &s.Nodes[i], fmt.Sprintf("nodes[%d].", i)
		c.within(at+"count", float64(n.Count), 1, mostNodes)
		c.within(at+"cores", float64(n.Cores), 1, 4096)
		c.within(at+"speed", n.Speed, 1e-6, 1e6)
		c.within(at+"slots", float64(n.Slots), float64(n.Cores), 1e6)
		c.within(at+"queue", float64(n.Queue), 0, 1e9)
		c.within(at+"errors", n.Errors, 0, 1)
		c.within(at+"cold_from", n.WarmupSpeed, 1e-3, 1)
		c.within(at+"cold_s", n.Warmup, 0, mostLength)
		c.within(at+"conns", float64(n.Conns), 0, 1e6)
		c.within(at+"handshake_ms", n.Handshake, 0, mostMillis)
		all += n.Count
	}
	if all == 0 || all > mostNodes {
		c.fault("nodes", all, fmt.Sprintf("1 to %d in all", mostNodes))
	}
}

func (s *Scenario) checkFaults(c scenarioChecker) {
	for i := range s.Faults {
		t, at := &s.Faults[i], fmt.Sprintf("trouble[%d].", i)
		c.within(at+"at_s", t.At, 0, s.Length)
		c.within(at+"for_s", t.For, 0, mostLength)
		c.within(at+"part", t.Fraction, 0, 1)
		switch t.Kind {
		case "slow":
			c.within(at+"size", t.Size, 1, 1e6)
		case "fail", "cut":
			c.within(at+"size", t.Size, 0, 1)
		case "crash", "drain":
		default:
			c.fault(at+"kind", t.Kind, "slow, fail, crash, drain or cut")
		}
	}
}
