package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// capacityEvents is the number of events in each stream of BenchmarkCapacityEvents.
const capacityEvents = 1000

// BenchmarkCapacityEvents forwards the events of streams from a server that writes each event separately. One operation
// is one event.
func BenchmarkCapacityEvents(b *testing.B) {
	t := &testing.T{}
	server := streamingFakeServer(b)
	r := newTestProxy(t, server)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	body := bytes.Repeat([]byte("b"), 200)
	b.ReportAllocs()
	passed := 0
	for b.Loop() {
		if passed > 0 {
			passed--
			continue
		}
		request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+r.address+"/s/x", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Host = "h.example"
		request.Header.Set(headerAttemptID, "id1")
		request.Header.Set(headerDeadline, "60000")
		request.Header.Set("X-Fieldrelay-Model", "m")
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || bytes.Count(data, []byte("\n\n")) != capacityEvents {
			b.Fatal(response.Status, err, string(data[:min(len(data), 200)]))
		}
		passed = capacityEvents - 1
	}
}

// streamingFakeServer responds to each request with a stream whose events are written one by one.
func streamingFakeServer(b *testing.B) *fakeServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	head := "HTTP/1.1 200 OK\r\n" + headerAttemptID + ": id1\r\n" + seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go streamForever(conn, head)
		}
	}()
	server := &fakeServer{}
	server.server.ID = "i-1"
	server.server.Address = listener.Addr().String()
	return server
}

func streamForever(conn net.Conn, head string) {
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := conn.Write([]byte(head)); err != nil {
			return
		}
		for i := range capacityEvents {
			event := "id: " + strconv.Itoa(i+1) + "\ndata: abcdefghijklmnopqrstuvwxyz0123456789\n\n"
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// BenchmarkCapacityScan scans one event.
func BenchmarkCapacityScan(b *testing.B) {
	scanner := newEventScanner()
	event := []byte("id: 12\ndata: abcdefghijklmnopqrstuvwxyz0123456789\n\n")
	b.ReportAllocs()
	for b.Loop() {
		if _, complete := scanner.scan(event); !complete {
			b.Fatal("scan found no complete event")
		}
	}
}

func capacityRoute(sequence uint64, number int) *pb.Item {
	body := fmt.Sprintf(`{"name":"r-%04d","vhost":"h%d.example","path-prefix":"/p%04d/","route-kind":"streaming","deadline-ms":5000,`+
		`"target-ms":1500,"prio":1,"backend":"lm","tries":2,"home-regions":[]}`, number, number%50, number)
	return &pb.Item{Kind: catalog.KindRoutes, Name: fmt.Sprintf("r-%04d", number), Sequence: sequence, Body: []byte(body)}
}

// BenchmarkCapacitySwapOfOneChange applies a change of one route to a configuration with 1,500 routes.
func BenchmarkCapacitySwapOfOneChange(b *testing.B) {
	store := newSnapshotStore()
	first := &pb.Change{Sequence: 1, Generation: 1}
	for number := range 1500 {
		first.Upserts = append(first.Upserts, capacityRoute(1, number))
	}
	store.apply(&pb.ApplyRequest{Changes: []*pb.Change{first}})
	b.ReportAllocs()
	for b.Loop() {
		sequence := store.load().sequence + 1
		change := &pb.Change{Sequence: sequence, Generation: sequence, Upserts: []*pb.Item{capacityRoute(sequence, int(sequence)%1500)}}
		store.apply(&pb.ApplyRequest{Changes: []*pb.Change{change}})
	}
}

// BenchmarkCapacitySwapOfList applies a server list with 3,100 servers.
func BenchmarkCapacitySwapOfList(b *testing.B) {
	store := newSnapshotStore()
	list := &pb.ServerList{}
	for i := range 3100 {
		list.Servers = append(list.Servers, &pb.Server{Id: fmt.Sprintf("i-%08x", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i/2500, i/250, i%250)})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		list.Version = &pb.ListVersion{Epoch: 1, Revision: uint64(i) + 1}
		store.apply(&pb.ApplyRequest{List: list})
	}
}
