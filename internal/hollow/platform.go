package hollow

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fieldrelay/api/operator"
)

// markerID is the incarnation of the server by whose software receivers tell lists apart. It sorts first.
const markerID = "0-marker"

// platform is a stand-in for the platform's list of servers, told page by page.
type platform struct {
	page  int
	delay time.Duration // of each answer
	calls atomic.Int64

	mutex   sync.Mutex
	servers []operator.ServerEntry
	marker  int
}

func newPlatform(d Deployment, delay time.Duration) *platform {
	p := &platform{page: d.Page, delay: delay}
	for number := range d.Servers {
		p.servers = append(p.servers, serverEntry(d, number))
	}
	p.servers[0].InstID = markerID
	p.mark()
	return p
}

func serverEntry(d Deployment, number int) operator.ServerEntry {
	software, warm := "v1", 0.0
	models := []operator.Model{{Name: "m-" + strconv.Itoa(number%3)}}
	return operator.ServerEntry{
		InstID:     fmt.Sprintf("i-%08x", uint32(number)*2654435761),
		Backend:    "model-" + strconv.Itoa(number%3),
		Address:    fmt.Sprintf("10.%d.%d.%d:8080", 128+number%d.Zones, number/250, number%250+1),
		Az:         d.zone(number),
		Gen:        &software,
		Capacity:   64,
		Phase:      operator.Up,
		WarmLeftMs: &warm,
		Models:     &models,
	}
}

// change gives the marker another software and returns the number that tells it.
func (p *platform) change() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.marker++
	p.mark()
	return p.marker
}

func (p *platform) mark() {
	software := strconv.Itoa(p.marker)
	p.servers[0].Gen = &software
}

// ServeHTTP answers one page.
func (p *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.calls.Add(1)
	if err := pass(request.Context(), p.delay); err != nil {
		return
	}
	start, _ := strconv.Atoi(request.URL.Query().Get("page-token"))
	servers := p.of(request.URL.Query().Get("az"))
	end := min(start+p.page, len(servers))
	answer := operator.ServerPage{Servers: servers[min(start, end):end]}
	if end < len(servers) {
		next := strconv.Itoa(end)
		answer.NextToken = &next
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

// of gives the servers of a zone, all of them if it is empty.
func (p *platform) of(zone string) []operator.ServerEntry {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var servers []operator.ServerEntry
	for _, server := range p.servers {
		if zone == "" || server.Az == zone {
			servers = append(servers, server)
		}
	}
	return servers
}
