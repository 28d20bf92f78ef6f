package processfleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"fieldrelay/internal/testkit/fakebackend"
	"fieldrelay/internal/testkit/faultline"
)

const sidecarSettings = `{"tick_ms":5,"discovery":"subscribe","classes":[
 {"name":"look","effect":"free","aim_ms":500,"deadline_ms":2000,"late_worth":0.5},
 {"name":"pay","effect":"guarded","group":"all","window_ms":12000,"aim_ms":800,"deadline_ms":3000,"late_worth":0.5},
 {"name":"order","effect":"single_shot","aim_ms":800,"deadline_ms":3000,"late_worth":0.5}],
 "contract":{"ask_every_ms":10000,"cold_from":0.31,"cold_ms":1000,"drain_grace_ms":500,"grace_to_answer_ms":20},
 "limits":{"send_cap":6,"may_cancel":true,"parallel_tries":false,"retry_after":true,"max_retry_after_ms":3000,
 "conn_idle_ms":30000,"dial_timeout_ms":120}}`

// freePorts finds ports of a host of our own that are free for streams and for datagrams. They are free again when it
// returns; nothing else uses that host.
func freePorts(host string, n int) (addresses []string, err error) {
	for range n {
		tcp, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = tcp.Close() }()
		addresses = append(addresses, tcp.Addr().String())
	}
	return addresses, nil
}

// connect makes the links that begin at a sidecar, and its clients' one.
func (r *Fleet) connect(s *Sidecar) error {
	link := func(from, to, target string) error {
		l, err := faultline.NewLink(linkID{from, to}.String(), "127.0.0.1", target, r.opts.Seed)
		if err != nil {
			return err
		}
		r.links[linkID{from, to}] = l
		return nil
	}
	for i, n := range r.nodes {
		address, err := n.Listen()
		if err != nil {
			return err
		}
		r.senders[address] = s.Name
		if err := link(s.Name, nodeName(i), address); err != nil {
			return err
		}
	}
	list, err := fakebackend.NewDiscovery(r.entries(s)...)
	if err != nil {
		return err
	}
	r.lists = append(r.lists, list)
	if err := link(s.Name, "discovery", list.Addr()); err != nil {
		return err
	}
	if err := link("client", s.Name, s.ClientAddress); err != nil {
		return err
	}
	if r.opts.Direct || r.opts.NoFleet {
		return nil
	}
	for _, p := range r.Sidecars {
		if p != s {
			if err := link(s.Name, p.Name, p.Peer); err != nil {
				return err
			}
		}
	}
	return nil
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i+1) }

// entries are the execute nodes as a sidecar's list has them, all ready.
func (r *Fleet) entries(s *Sidecar) (all []fakebackend.Entry) {
	for i := range r.nodes {
		all = append(all, fakebackend.Ready(nodeName(i), r.links[linkID{s.Name, nodeName(i)}].Addr()))
	}
	return all
}

// write writes a sidecar's files.
func (r *Fleet) write(s *Sidecar) error {
	known := `{"generation":0,"reset":true,"instances":[]}`
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"mgmt":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		s.Name, s.ClientAddress, s.Mgmt, r.links[linkID{s.Name, "discovery"}].Addr(), known, sidecarSettings)
	if !json.Valid([]byte(text)) {
		return errors.New("rig: the settings are no JSON")
	}
	var own strings.Builder
	own.WriteString("version = 1\n[log]\nrepeats = 0\n") // what happens is read from the log: none of it may be left out
	if !r.opts.NoFleet {
		fmt.Fprintf(&own, "[fleet]\nfleet = \"rig\"\nlisten = %q\npace_ms = %d\nlease_ms = %d\nvoters = [", s.Peer, r.opts.Pace.Milliseconds(), r.opts.Lease.Milliseconds())
		for _, name := range r.Voters() {
			fmt.Fprintf(&own, "%q, ", name)
		}
		own.WriteString("]\n")
		if r.opts.Keep {
			fmt.Fprintf(&own, "state = %q\n", filepath.Join(s.dir, stateDir))
		}
		fmt.Fprintf(&own, "%s\njoin = [", r.opts.Operator)
		for _, p := range r.Sidecars[:min(seedCount, len(r.Sidecars))] {
			if p != s {
				fmt.Fprintf(&own, "%q, ", r.reach(s, p))
			}
		}
		own.WriteString("]\n")
		if !r.opts.Direct {
			own.WriteString("[fleet.dial]\n")
			for _, p := range r.Sidecars {
				if p != s {
					fmt.Fprintf(&own, "%s = %q\n", p.Name, r.reach(s, p))
				}
			}
		}
	}
	tail, ok := r.opts.TailOf[s.Name]
	if !ok {
		tail = r.opts.Tail
	}
	own.WriteString(tail + "\n# end\n")
	return errors.Join(os.WriteFile(filepath.Join(s.dir, "config.json"), []byte(text), 0o600),
		os.WriteFile(filepath.Join(s.dir, "operator.toml"), []byte(own.String()), 0o600))
}

func (r *Fleet) reach(from, to *Sidecar) string {
	if l := r.links[linkID{from.Name, to.Name}]; l != nil {
		return l.Addr()
	}
	return to.Peer
}
