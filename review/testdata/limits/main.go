// Command limits shows what becomes of requests on kept connections after a configuration has raised max-header-bytes.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"fieldrelay/review/testdata/rig"
)

const (
	clients     = 24
	headerBytes = 40000 // within the new limit of 65536
	applyTime   = 2500 * time.Millisecond
	contactTime = 4000 * time.Millisecond
)

// configuration returns a configuration with one route to idempotent work.
func configuration(generation, maxHeader int) string {
	return fmt.Sprintf(`{"gen":%d,"routes":[{"name":"r-1","vhost":"ficu95.example","path-prefix":"/lohu930/","route-kind":"idempotent",`+
		`"deadline-ms":3000,"target-ms":600,"prio":0,"backend":"huvo11a","tries":2,"pinned":true}],`+
		`"backends":[{"name":"huvo11a","health-path":"/healthz","max-conns":360,"protocol":"h1","use-tls":false}],`+
		`"req-limits":{"max-header-bytes":%d,"max-body-bytes":4194304,"header-read-ms":3000,"keepalive-ms":15000}}`, generation, maxHeader)
}

// prefix returns the parts of a prompt, about size bytes long.
func prefix(size int) string {
	var text strings.Builder
	for part := 0; text.Len() < size; part++ {
		if part > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%08x:16", 0x5c1e0000+part)
	}
	return text.String()
}

type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends one request with a head of about size bytes and returns the status and whether the answer has a server's seal.
func (c *client) send(id string, size int) (status int, sealed bool, err error) {
	head := "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Fieldrelay-Attempt-Id: " + id +
		"\r\nX-Fieldrelay-Model: m\r\nX-Fieldrelay-Token-Count: 1460,80\r\nX-Fieldrelay-Deadline-Ms: 3000\r\nContent-Length: 2\r\n"
	head += "X-Fieldrelay-Prompt-Prefix: " + prefix(size-len(head)-40) + "\r\n\r\n"
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(c.conn, head+"{}"); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("X-Fieldrelay-Server-Seal") != "", err
}

func main() {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		os.Exit(rig.ExitNoRun)
	}
	code, err := run(record)
	if err != nil {
		record.Add("the case could not run: %v", err)
	}
	os.Exit(code)
}

func run(record *rig.Record) (int, error) {
	system, err := rig.Start(record, 8)
	if system != nil {
		defer system.Stop()
	}
	if err != nil {
		return rig.ExitNoRun, err
	}
	for index, zone := range []string{"hall-a", "hall-b"} {
		id := fmt.Sprintf("i-%d", index+1)
		server, err := rig.StartServer(id, func(conn net.Conn, request *http.Request, _ []byte) bool {
			record.Add("server %s runs %s", id, request.Header.Get("X-Fieldrelay-Attempt-Id"))
			return rig.Answer(conn, request, id+".seal", "done")
		})
		if err != nil {
			return rig.ExitNoRun, err
		}
		system.Platform.Set(append(system.Platform.Entries(), server.Entry("huvo11a", zone))...)
	}
	first := 16384
	if !rig.WithTrouble() {
		first = 65536
	}
	if err := system.Operator("/api/conf/replace", "0", configuration(5, first), 15*time.Second); err != nil {
		return rig.ExitNoRun, err
	}
	if err := system.AwaitReady(15 * time.Second); err != nil {
		return rig.ExitNoRun, err
	}
	time.Sleep(contactTime + time.Second)

	requests, denied := 0, 0
	note := func(id, where string, status int, sealed bool, err error) {
		requests++
		record.Add("request %s on a %s connection: status %d, sealed %v, error %v", id, where, status, sealed, err)
		if status >= 300 && status < 500 && !sealed && status != 408 && status != 421 && status != 429 {
			denied++
		}
	}
	var kept []*client
	for index := range clients {
		one, err := dial(system.Proxy())
		if err != nil {
			return rig.ExitNoRun, err
		}
		id := fmt.Sprintf("a%d", index)
		status, sealed, err := one.send(id, 600)
		note(id, "new", status, sealed, err)
		if status != http.StatusOK {
			return rig.ExitNoRun, fmt.Errorf("a request before the change got %d: %w", status, err)
		}
		kept = append(kept, one)
	}
	if rig.WithTrouble() {
		if err := system.Operator("/api/conf/replace", "5", configuration(7, 65536), 5*time.Second); err != nil {
			return rig.ExitNoRun, err
		}
	}
	time.Sleep(applyTime + 500*time.Millisecond)
	for index := range clients {
		id := fmt.Sprintf("n%d", index)
		one, err := dial(system.Proxy())
		if err != nil {
			return rig.ExitNoRun, err
		}
		status, sealed, err := one.send(id, headerBytes)
		note(id, "new", status, sealed, err)
		_ = one.conn.Close()
	}
	for index, one := range kept {
		id := fmt.Sprintf("k%d", index)
		status, sealed, err := one.send(id, headerBytes)
		note(id, "kept", status, sealed, err)
	}
	allowed := 5 + float64(requests)/500
	record.Add("%d of %d requests denied; DENIED allows %.2f", denied, requests, allowed)
	if float64(denied) > allowed {
		return rig.ExitBroken, nil
	}
	return rig.ExitHeld, nil
}
