package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"fieldrelay/internal/testkit/faultline"
	"fieldrelay/internal/testkit/fleetsim"
	"fieldrelay/internal/testkit/processfleet"
)

type peersCmd struct {
	Sidecars []int         `help:"Sizes of fleets of real processes, one after another." default:"5,20"`
	Crashes  int           `help:"In each fleet, one after another." default:"10"`
	For      time.Duration `help:"How long traffic is looked at." default:"20s"`
	Loss     float64       `help:"Part of the datagrams between sidecars that are lost meanwhile."`
	Jitter   time.Duration `help:"Of those datagrams."`
	Burn     int           `help:"Threads that take CPU from the sidecars meanwhile; -1: as many as there are cores." default:"0"`
	Binary   string        `help:"The sidecar's program; as a rule the one beside this." placeholder:"FILE"`
}

// Run measures, for each fleet size, the cost of the membership protocol and the time until a crash is detected.
func (c *peersCmd) Run() error {
	binary := c.Binary
	if binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		binary = filepath.Join(filepath.Dir(self), "fieldrelay")
	}
	for _, n := range c.Sidecars {
		if err := c.measureFleet(binary, n); err != nil {
			return fmt.Errorf("%d sidecars: %w", n, err)
		}
	}
	return nil
}

// measureFleet measures one fleet of n real sidecars.
func (c *peersCmd) measureFleet(binary string, n int) (err error) {
	dir, err := os.MkdirTemp("", "fieldlab-peers-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := processfleet.New(processfleet.Options{Binary: binary, Sidecars: n, Dir: dir, Seed: 1})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	if err := r.Start(); err != nil {
		return err
	}
	took, ok := processfleet.Until(time.Minute, func() bool { return r.Agrees() && r.Agreed() })
	if !ok {
		return errors.New("the sidecars did not agree on one view within a minute")
	}
	fmt.Printf("%d sidecars: one view of all after %v\n", n, took.Round(time.Millisecond))
	d, err := r.Crashes(c.Crashes)
	if err != nil {
		return err
	}
	fmt.Printf("  a survivor knows of a crash:   %v\n  all survivors know:            %v\n  all hold a view without it:    %v\n  all hold a view with it again: %v\n",
		d.Known, d.All, d.View, d.Back)
	r.Weather(faultline.Fault{Loss: c.Loss, Jitter: c.Jitter})
	defer burnCPU(c.Burn)()
	u, err := r.Usage(c.For)
	if err != nil {
		return err
	}
	fmt.Printf("  in %v, loss %.2f, jitter %v, burning %d: a member sends %.1f messages and %.0f bytes a second, a voter %.1f messages, the busiest %.0f bytes;\n"+
		"  CPU %.2f%% of a core each, %d kB resident at most; false failures %d, views %d\n",
		c.For, c.Loss, c.Jitter, c.Burn, u.Messages, u.Bytes, u.VoterMessages, u.VoterMax, 100*u.CPU, u.ResidentKB, u.FalseFailures, u.Views)
	return nil
}

// burnCPU starts goroutines that use CPU until the returned function is called; a negative number starts one for each core.
func burnCPU(threads int) func() {
	if threads < 0 {
		threads = runtime.NumCPU()
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range threads {
		all.Go(func() {
			for x := 1; ; x++ {
				if x%(1<<16) == 0 {
					select {
					case <-stop:
						return
					default:
					}
				}
			}
		})
	}
	return func() { close(stop); all.Wait() }
}

type stormCmd struct {
	Members int           `help:"Of the fleet." default:"5"`
	Voters  int           `help:"Of them." default:"3"`
	Seeds   int           `help:"Storms, from seed 1 on." default:"50"`
	For     time.Duration `help:"Of each, in simulated time." default:"2m"`
	Quiet   bool          `help:"No storm: start all, let a minute pass and count traffic."`
}

// Run runs fault schedules (storms) in simulated time, one for each seed, or measures the traffic of a fleet without faults.
func (c *stormCmd) Run() error {
	if c.Quiet {
		return c.measureQuiet()
	}
	broken := 0
	for seed := range c.Seeds {
		w := fleetsim.New(fleetsim.Options{Members: c.Members, Voters: c.Voters, Delay: time.Millisecond, Jitter: 30 * time.Millisecond, Loss: 0.02,
			Drift: 0.005, Keep: seed%2 == 0, Seed: uint64(seed + 1)})
		s := w.Weather(c.For)
		for _, b := range s.Broken {
			fmt.Printf("seed %d: %s\n", seed+1, b)
		}
		if broken += len(s.Broken); s.ConvergedAfter < 0 {
			fmt.Printf("seed %d: the members did not agree within the bound after all faults had ended\n", seed+1)
			broken++
		}
	}
	fmt.Printf("storms %d, rules broken %d\n", c.Seeds, broken)
	if broken > 0 {
		return errRunFailed
	}
	return nil
}

// measureQuiet measures the traffic of a fleet without faults in simulated time, then the time until the survivors of one
// crash agree on the next view.
func (c *stormCmd) measureQuiet() error {
	w := fleetsim.New(fleetsim.Options{Members: c.Members, Voters: c.Voters, Delay: time.Millisecond, Seed: 1})
	w.StartAll(10 * time.Second)
	w.Run(10*time.Second, nil)
	if !w.Run(w.Now()+10*time.Minute, w.Agreed) {
		return errors.New("the members did not agree on a view within 10 simulated minutes")
	}
	fmt.Printf("%d members: one view of all after %v\n", c.Members, w.Now())
	w.Run(w.Now()+time.Minute, nil)
	type sums struct{ messages, bytes, most float64 }
	before := make([]fleetsim.Traffic, c.Members)
	for i, n := range w.Nodes() {
		before[i] = n.Sent
	}
	w.Run(w.Now()+time.Minute, nil)
	var voter, other sums
	for i, n := range w.Nodes() {
		of, count := &other, c.Members-c.Voters
		if i < c.Voters {
			of, count = &voter, c.Voters
		}
		bytes := float64(n.Sent.Bytes-before[i].Bytes) / 60
		of.messages += float64(n.Sent.Messages-before[i].Messages) / 60 / float64(count)
		of.bytes += bytes / float64(count)
		of.most = max(of.most, bytes)
	}
	fmt.Printf("quiet: a member sends %.1f messages and %.0f bytes a second (most %.0f), a voter %.1f and %.0f (most %.0f)\n",
		other.messages, other.bytes, other.most, voter.messages, voter.bytes, voter.most)
	holding := 0
	for _, n := range w.Nodes() {
		if n.Core.Mode().String() == "together" {
			holding++
		}
	}
	fmt.Printf("%d of %d hold the view\n", holding, c.Members)
	victim := w.Node(c.Members - 1)
	victim.Kill()
	from := w.Now()
	if !w.Run(from+time.Minute, w.Agreed) {
		return errors.New("the survivors did not agree on a view without the crashed member within a simulated minute")
	}
	fmt.Printf("after a crash all hold the next view within %v\n", (w.Now() - from).Round(time.Millisecond))
	return nil
}
