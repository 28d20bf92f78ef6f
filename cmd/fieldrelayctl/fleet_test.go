package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
)

// The commands print the sidecar's answer as a table. If the sidecar rejects the management command, the program prints
// the reason and returns exitFault.
func TestTables(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(nc).ReadString('\n')
			switch strings.TrimSpace(line) {
			case "QUOTAS":
				_, _ = fmt.Fprint(nc, "ok\norders per_second limit=100 here=31.4\nretries retry_pct limit=10 let=7\neof\n")
			case "PEERS":
				_, _ = fmt.Fprint(nc, "ok\ntill-1 self inc=3 heard=0ms addr=127.0.0.1:7 view=1.2\neof\n")
			default:
				_, _ = fmt.Fprint(nc, "fail fleet.verdicts off\n")
			}
			_ = nc.Close()
		}
	}()
	for word, c := range map[string]struct {
		code int
		want string
	}{
		"quotas":   {0, "NAME               limit  here  let\norders per_second  100    31.4  \nretries retry_pct  10           7\n"},
		"fleet":    {0, "MEMBER  STATE  INCARNATION  LAST HEARD  ADDRESS      MORE\ntill-1  self   3            0ms         127.0.0.1:7  view=1.2\n"},
		"verdicts": {exitFault, ""},
	} {
		var out, errs strings.Builder
		code := command([]string{word, "--mgmt", ln.Addr().String()}, func(string) string { return "" }, &out, &errs)
		if code != c.code || out.String() != c.want {
			t.Errorf("%s: %d\n%s\n%s", word, code, out.String(), errs.String())
		}
		if c.code != 0 && !strings.Contains(errs.String(), "fleet.verdicts off") {
			t.Errorf("%s: %q", word, errs.String())
		}
	}
}
