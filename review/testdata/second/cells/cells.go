// Package cells has the applications of two cases of the second review: they put values to keys at a steady rate, and
// at the end read back what was acknowledged, request a number and send a configuration.
package cells

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"fieldrelay/review/testdata/second/rig"
)

const (
	callers = 5
	slowly  = 2                // puts of all callers a second once they have slowed down
	settled = 4 * time.Second  // pause between the last put and the first read
	readFor = 12 * time.Second // the reads at the end are repeated for that long
	readers = 8
)

// Case is one case.
type Case struct {
	ValueBytes int // size of every value
	Keys       int
	Groups     int           // groups among which the keys are spread
	Text       string        // what the values consist of; empty: random hexadecimal digits
	PerSecond  int           // puts of all callers
	WriteFor   time.Duration // time for which the callers put
	SlowAfter  time.Duration // time after which they put slowly; 0: never
	Bounds     map[string]string
	// Trouble is the disruption. It runs beside the callers.
	Trouble func(system *rig.System, start time.Time) error
}

// key is what the callers know of one key.
type key struct {
	name     string
	revision uint64 // highest acknowledged revision
}

type trial struct {
	Case
	record *rig.Record
	system *rig.System
	mutex  sync.Mutex
	keys   []key
	acked  int
	failed int // calls without a 200
}

// Run runs the case with its record in a folder, and returns the exit code. With TROUBLE=0 it leaves the disruption out.
func (c Case) Run(folder string) int {
	record, err := rig.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	system, err := rig.New(rig.Options{
		Program: "target/fieldrelay-region", Controls: 3, Platform: "127.0.0.1:1", Record: record, Bounds: c.Bounds,
	})
	if err != nil {
		record.Printf("cannot run: %v", err)
		return 2
	}
	defer system.Stop()
	if err := system.StartAll(); err != nil {
		record.Printf("cannot run: %v", err)
		return 2
	}
	if answer := configure(system, 0, 1, 10*time.Second); answer.Status != 200 {
		record.Printf("cannot run: the first configuration got %d %v", answer.Status, answer.Err)
		return 2
	}
	t := &trial{Case: c, record: record, system: system}
	for index := range c.Keys {
		t.keys = append(t.keys, key{name: fmt.Sprintf("g%d.k%d", index%c.Groups, index)})
	}
	if err := t.write(os.Getenv("TROUBLE") != "0"); err != nil {
		record.Printf("cannot run: %v", err)
		return 2
	}
	return t.judge()
}

func configure(system *rig.System, base, generation int, limit time.Duration) rig.Answer {
	header := map[string]string{"X-Fieldrelay-Base-Rev": strconv.Itoa(base), "Content-Type": "application/json"}
	body := fmt.Sprintf(`{"gen":%d,"routes":[],"backends":[{"name":"kronikar"}]}`, generation)
	return system.Operator("POST", "/api/conf/replace", header, []byte(body), limit)
}

// write lets the callers put values beside the disruption.
func (t *trial) write(trouble bool) error {
	start := time.Now()
	var callersRunning sync.WaitGroup
	for caller := range callers {
		callersRunning.Go(func() { t.call(caller, start) })
	}
	if trouble {
		if err := t.Trouble(t.system, start); err != nil {
			return err
		}
	}
	callersRunning.Wait()
	t.record.Printf("%d puts acknowledged, %d calls without a 200", t.acked, t.failed)
	return nil
}

// call is one caller: it puts one value after another at its share of the rate. It does not make up for time in which it
// waited for an answer.
func (t *trial) call(caller int, start time.Time) {
	interval := time.Second * callers / time.Duration(t.PerSecond)
	for number := 0; ; number++ {
		next := time.Now().Add(interval)
		if t.SlowAfter > 0 && time.Since(start) >= t.SlowAfter {
			next = time.Now().Add(time.Second * callers / slowly)
		}
		if time.Since(start) >= t.WriteFor {
			return
		}
		index := (caller + number*callers) % t.Keys
		t.put(caller, index, t.uniqueValue(fmt.Sprintf("%d-%d-", caller, number)))
		if caller == 0 && number%t.PerSecond == 0 {
			t.mutex.Lock()
			t.record.Printf("%d puts acknowledged, %d calls without a 200", t.acked, t.failed)
			t.mutex.Unlock()
		}
		time.Sleep(time.Until(next))
	}
}

// uniqueValue returns a value behind a prefix that no other value has.
func (t *trial) uniqueValue(prefix string) string {
	if t.Text != "" {
		return (prefix + strings.Repeat(t.Text, t.ValueBytes/len(t.Text)+1))[:t.ValueBytes]
	}
	data := make([]byte, t.ValueBytes/2+1)
	_, _ = rand.Read(data)
	return (prefix + hex.EncodeToString(data))[:t.ValueBytes]
}

// put sends one put to one control machine after another, for five seconds.
func (t *trial) put(caller, index int, value string) {
	body := []byte(`{"val":"` + value + `"}`)
	end := time.Now().Add(5 * time.Second)
	for try := 0; time.Now().Before(end); try++ {
		machine := t.system.Controls[(caller+try)%len(t.system.Controls)]
		answer := rig.Call("POST", "http://"+machine.Control+"/api/cells/"+t.keys[index].name+"/replace", nil, body, time.Second)
		var put struct{ Revision uint64 }
		if answer.Status == 200 && json.Unmarshal(answer.Body, &put) == nil {
			t.mutex.Lock()
			t.keys[index].revision = max(t.keys[index].revision, put.Revision)
			t.acked++
			t.mutex.Unlock()
			return
		}
		t.mutex.Lock()
		t.failed++
		if t.failed <= 5 || t.failed%50 == 0 {
			t.record.Printf("put of %s at %s: %d %v", t.keys[index].name, machine.Name, answer.Status, answer.Err)
		}
		t.mutex.Unlock()
		time.Sleep(time.Duration(50*(1<<min(try, 3))) * time.Millisecond)
	}
}

// judge reads every key back, requests a number and sends a configuration, each again and again for readFor.
func (t *trial) judge() int {
	time.Sleep(settled)
	t.record.Printf("the callers have stopped; every key is read back")
	end := time.Now().Add(readFor)
	missing := t.readAll(end)
	number := t.number(time.Now().Add(3 * time.Second))
	answer := configure(t.system, 1, 3, 4*time.Second)
	t.record.Printf("%d of %d keys were not read back; number: %s; configuration: %d %v", missing, t.Keys, number, answer.Status, answer.Err)
	for _, machine := range t.system.Controls {
		t.record.Printf("%s runs: %v", machine.Name, t.system.Running(machine, "control"))
	}
	if missing > 0 || number != "200" {
		t.record.Printf("LOST is broken: an answer lags behind what was acknowledged, or does not arrive in time")
		return 1
	}
	t.record.Printf("LOST held")
	return 0
}

// readAll reads the keys in turn, a few at a time, until each was read or the end is reached. It returns the number of
// keys that were not read at the acknowledged revision or a later one.
func (t *trial) readAll(end time.Time) int {
	waiting := make(chan int, t.Keys)
	outcomes := make([]string, t.Keys)
	for index := range t.Keys {
		outcomes[index] = "not read"
		waiting <- index
	}
	var running sync.WaitGroup
	for reader := range readers {
		running.Go(func() {
			for try := 0; time.Now().Before(end); try++ {
				select {
				case index := <-waiting:
					outcomes[index] = t.read(index, reader+try)
					if outcomes[index] != "" {
						time.Sleep(100 * time.Millisecond)
						waiting <- index
					}
				default:
					return
				}
			}
		})
	}
	running.Wait()
	missing := 0
	for index, outcome := range outcomes {
		if outcome != "" {
			missing++
			t.record.Printf("key %s, acknowledged revision %d: at last %s", t.keys[index].name, t.keys[index].revision, outcome)
		}
	}
	return missing
}

// read reads a key once, and returns what is wrong with the answer.
func (t *trial) read(index, try int) string {
	machine := t.system.Controls[try%len(t.system.Controls)]
	answer := rig.Call("GET", "http://"+machine.Control+"/api/cells/"+t.keys[index].name+"/read", nil, nil, time.Second)
	var read struct{ Revision uint64 }
	if answer.Status != 200 || json.Unmarshal(answer.Body, &read) != nil {
		return fmt.Sprintf("%d %v", answer.Status, answer.Err)
	}
	if read.Revision < t.keys[index].revision {
		return fmt.Sprintf("revision %d", read.Revision)
	}
	return ""
}

func (t *trial) number(end time.Time) string {
	last := ""
	for try := 0; time.Now().Before(end); try++ {
		machine := t.system.Controls[try%len(t.system.Controls)]
		answer := rig.Call("POST", "http://"+machine.Control+"/api/numbers/n1", nil, []byte("{}"), time.Second)
		last = strconv.Itoa(answer.Status)
		if answer.Status == 200 {
			return last
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}
