package soak

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/faultline"
)

// linksVariable names the file that tells a process by which link it reaches an address.
const linksVariable = "SOAK_LINKS"

// dialLimit bounds the opening of a connection, as the system's own dialers do.
const dialLimit = 700 * time.Millisecond

// linkRoutes are the addresses of a process's links by the addresses of their targets.
type linkRoutes map[string]string

func loadRoutes(path string) (linkRoutes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the links")
	}
	var routes linkRoutes
	return routes, errors.Wrap(json.Unmarshal(text, &routes), "read the links")
}

// dial opens a connection by a link, or directly where there is none. It returns when the link has reached the
// target, so that a cut holds it up as it would hold up the opening of a connection.
func (r linkRoutes) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialLimit}
	link, found := r[address]
	if !found {
		return dialer.DialContext(ctx, network, address)
	}
	connection, err := dialer.DialContext(ctx, network, link)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { _ = connection.SetReadDeadline(time.Now()) })
	defer release()
	_ = connection.SetReadDeadline(time.Now().Add(dialLimit))
	if _, err := connection.Read(make([]byte, len(string(faultline.Announcement)))); err != nil {
		connection.Close()
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	return connection, connection.SetReadDeadline(time.Time{})
}

// way is one direction between two machines.
type way struct{ from, to string }

// effect is a fault on some ways.
type effect struct {
	covers func(way) bool
	fault  faultline.Fault
}

// network is all links between machines.
type network struct {
	links map[way]*faultline.Link // by caller and target

	mutex   sync.Mutex
	effects map[*effect]bool
}

// newNetwork opens a link from each machine to each service of another machine that it calls.
func newNetwork(plan *layout, seed uint64) (*network, map[string]linkRoutes, error) {
	result := &network{links: make(map[way]*faultline.Link), effects: make(map[*effect]bool)}
	routes := make(map[string]linkRoutes)
	for _, from := range plan.machines() {
		routes[from.name] = make(linkRoutes)
		for _, to := range plan.machines() {
			target, calls := from.calls(to)
			if !calls {
				continue
			}
			link, err := faultline.NewLink(from.name+" "+to.name, "127.0.0.1", target, seed)
			if err != nil {
				result.close()
				return nil, nil, errors.Wrap(err, "open a link")
			}
			link.Announce()
			result.links[way{from.name, to.name}] = link
			routes[from.name][target] = link.Addr()
		}
	}
	return result, routes, nil
}

// add puts an effect in force and returns what takes it back.
func (n *network) add(added effect) (remove func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.effects[&added] = true
	n.set()
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.effects, &added)
		n.set()
	}
}

// set tells each link the sum of all effects.
func (n *network) set() {
	for at, link := range n.links {
		link.Set(n.on(at), n.on(way{at.to, at.from}))
	}
}

func (n *network) on(at way) faultline.Fault {
	var sum faultline.Fault
	for each := range n.effects {
		if !each.covers(at) {
			continue
		}
		sum.Drop = sum.Drop || each.fault.Drop
		sum.Delay += each.fault.Delay
		if sum.Rate == 0 || each.fault.Rate > 0 && each.fault.Rate < sum.Rate {
			sum.Rate = each.fault.Rate
		}
	}
	return sum
}

func (n *network) close() {
	for _, link := range n.links {
		link.Close()
	}
}
