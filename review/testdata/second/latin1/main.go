// Command latin1 is case 6 of the second review: an operator's tool sends one configuration whose text is ISO 8859-1
// instead of UTF-8, amid sound changes.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"fieldrelay/review/testdata/second/rig"
)

const (
	sound   = "Rodinn\u00e9 album" // UTF-8
	unsound = "Rodinn\xe9 album"   // the same in ISO 8859-1: the byte E9 is not UTF-8
)

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	system, err := rig.New(rig.Options{Program: "target/fieldrelay-region", Controls: 3, Platform: "127.0.0.1:1", Record: record})
	if err != nil {
		record.Printf("cannot run: %v", err)
		return 2
	}
	defer system.Stop()
	if err := system.StartAll(); err != nil {
		record.Printf("cannot run: %v", err)
		return 2
	}
	if answer := replace(system, record, 0, 1, sound); answer.Status != 200 {
		record.Printf("cannot run: the first configuration was not acknowledged")
		return 2
	}
	broken := false
	if os.Getenv("TROUBLE") != "0" {
		answer := replace(system, record, 1, 3, unsound)
		if answer.Status/100 == 2 {
			broken = true
			record.Printf("CONFIG is broken: an invalid configuration was acknowledged")
		}
	}
	base, read := readBack(system, record)
	if !read {
		broken = true
		record.Printf("CONFIG is broken: the configuration read back is not JSON")
	}
	if !broken {
		if answer := replace(system, record, base, base+4, sound); answer.Status != 200 {
			record.Printf("cannot run: the last configuration was not acknowledged")
			return 2
		}
		if _, read := readBack(system, record); !read {
			broken = true
		}
	}
	if broken {
		return 1
	}
	record.Printf("CONFIG held")
	return 0
}

// replace sends a configuration whose one route carries a description.
func replace(system *rig.System, record *rig.Record, base, generation int, description string) rig.Answer {
	body := fmt.Sprintf(`{"gen":%d,"routes":[{"name":"captions","vhost":"album.example","path-prefix":"/captions/","route-kind":"idempotent",`+
		`"deadline-ms":2000,"target-ms":500,"prio":1,"backend":"kronikar","tries":2,"description":"%s"}],"backends":[{"name":"kronikar"}]}`,
		generation, description)
	header := map[string]string{"X-Fieldrelay-Base-Rev": strconv.Itoa(base), "Content-Type": "application/json"}
	answer := system.Operator("POST", "/api/conf/replace", header, []byte(body), 10*time.Second)
	record.Printf("configuration %d on %d, text in UTF-8: %v: answer %d %s", generation, base, utf8.ValidString(body), answer.Status, answer.Body)
	return answer
}

// readBack reads the configuration as a strict reader of JSON does (RFC 8259, section 8.1: it must be UTF-8).
func readBack(system *rig.System, record *rig.Record) (generation int, ok bool) {
	answer := system.Operator("GET", "/api/conf/read", nil, nil, 10*time.Second)
	var read struct{ Gen int }
	valid := utf8.Valid(answer.Body)
	err := json.Unmarshal(answer.Body, &read)
	record.Printf("read back: %d, UTF-8: %v, %q", answer.Status, valid, answer.Body)
	return read.Gen, answer.Status == 200 && valid && err == nil
}
