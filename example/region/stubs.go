package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"fieldrelay/api/operator"
	"fieldrelay/internal/testkit/localcluster"
)

const (
	service = "example-lm"
	model   = "m"

	// events is the number of events in each answer of a stub model server.
	events = 5

	// capacity is the number of concurrent requests that the platform's list states for a stub model server.
	capacity = 8
)

// stubServer is an HTTP server on a free port of 127.0.0.1.
type stubServer struct {
	address string
	server  *http.Server
}

func startStubServer(handler http.Handler) (*stubServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stub server")
	}
	one := &stubServer{address: listener.Addr().String(), server: &http.Server{Handler: handler}}
	go func() { _ = one.server.Serve(listener) }() // Serve returns after stop
	return one, nil
}

func (s *stubServer) stop() { _ = s.server.Close() }

// stubPlatform replaces the platform: it serves the list of model servers.
type stubPlatform struct {
	*stubServer
	mutex   sync.Mutex
	servers []operator.ServerEntry
}

func startPlatform() (*stubPlatform, error) {
	p := &stubPlatform{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", p.list)
	served, err := startStubServer(mux)
	p.stubServer = served
	return p, err
}

// add appends a server to the list.
func (p *stubPlatform) add(entry operator.ServerEntry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers = append(p.servers, entry)
}

func (p *stubPlatform) list(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(operator.ServerPage{Servers: p.servers}) // fails if the client has disconnected
}

// modelServer is a stub of a model server: it answers every request with a fixed number of events.
type modelServer struct {
	*stubServer
	id string
}

// startServers starts a stub model server in each of two zones and adds them to the platform's list.
func startServers(platform *stubPlatform) ([]*modelServer, error) {
	var servers []*modelServer
	for index, zone := range localcluster.ZoneNames[:2] {
		one := &modelServer{id: fmt.Sprintf("i-%d", index+1)}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /healthz", one.health)
		mux.HandleFunc("/", one.answer)
		served, err := startStubServer(mux)
		if err != nil {
			stopServers(servers)
			return nil, err
		}
		one.stubServer = served
		servers = append(servers, one)
		platform.add(operator.ServerEntry{
			InstID: one.id, Backend: service, Address: one.address, Az: zone, Capacity: capacity, Phase: "up",
		})
	}
	return servers, nil
}

func stopServers(servers []*modelServer) {
	for _, one := range servers {
		one.stop()
	}
}

func (s *modelServer) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Fieldrelay-Server-Id", s.id)
}

// answer streams events. A request that expects another server is rejected with status 421 and marked as not executed.
func (s *modelServer) answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Fieldrelay-Attempt-Id", r.Header.Get("X-Fieldrelay-Attempt-Id"))
	if wanted := r.Header.Get("X-Fieldrelay-Expect-Server"); wanted != "" && wanted != s.id {
		w.Header().Set("X-Fieldrelay-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Fieldrelay-Server-Seal", s.id+".seal")
	w.Header().Set("Content-Type", "text/event-stream")
	for id := 1; id <= events; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d from %s\n\n", id, id, s.id); err != nil {
			return // the client has disconnected
		}
		w.(http.Flusher).Flush()
	}
}
