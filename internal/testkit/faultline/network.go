package faultline

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Way is one direction between two machines, given by their names.
type Way struct{ From, To string }

// Effect is a fault in the directions of a network for which Covers returns true.
type Effect struct {
	Covers func(Way) bool
	Fault  Fault
}

// Network is a set of announcing links between machines, one from each caller to each service that it calls. Several effects
// on one direction are combined: the direction drops if any effect does, delays are added, and the lowest rate applies. Other
// faults of an effect are ignored.
type Network struct {
	seed uint64

	mutex   sync.Mutex
	links   map[Way]*Link // links by caller and callee
	effects map[*Effect]bool
}

// NewNetwork returns a network without links.
func NewNetwork(seed uint64) *Network {
	return &Network{seed: seed, links: make(map[Way]*Link), effects: make(map[*Effect]bool)}
}

// Open opens the link through which a machine calls a service of another one, and returns the link's address.
func (n *Network) Open(direction Way, target string) (address string, err error) {
	link, err := NewLink(direction.From+" "+direction.To, "127.0.0.1", target, n.seed)
	if err != nil {
		return "", err
	}
	link.Announce()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[direction] = link
	return link.Addr(), nil
}

// Add applies an effect and returns a function that removes it.
func (n *Network) Add(added Effect) (remove func()) {
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

// set configures each link with the combined effects of its two directions.
func (n *Network) set() {
	for direction, link := range n.links {
		link.Set(n.sum(direction), n.sum(Way{From: direction.To, To: direction.From}))
	}
}

func (n *Network) sum(direction Way) (sum Fault) {
	for each := range n.effects {
		if !each.Covers(direction) {
			continue
		}
		sum.Drop = sum.Drop || each.Fault.Drop
		sum.Delay += each.Fault.Delay
		if sum.Rate == 0 || each.Fault.Rate > 0 && each.Fault.Rate < sum.Rate {
			sum.Rate = each.Fault.Rate
		}
	}
	return sum
}

// Close closes all links.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.links {
		link.Close()
	}
}

// Dialer opens connections through announcing links. It returns once a link has reached its target, so that a network
// partition delays it as it would delay a TCP handshake.
type Dialer struct {
	Links map[string]string // address of the link by the address of its target; an address without a link is dialed directly
	Limit time.Duration     // time limit of opening one connection
}

// DialContext has the signature of net.Dialer.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Limit)
	defer cancel()
	link, found := d.Links[address]
	if !found {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	connection, err := new(net.Dialer).DialContext(ctx, network, link)
	if err != nil {
		return nil, err
	}
	if err := awaitAnnouncement(ctx, connection); err != nil {
		_ = connection.Close()
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	return connection, nil
}

func awaitAnnouncement(ctx context.Context, connection net.Conn) error {
	release := context.AfterFunc(ctx, func() { _ = connection.SetReadDeadline(time.Now()) })
	_, err := connection.Read(make([]byte, 1))
	if err == nil && !release() {
		return ctx.Err() // the read deadline is set already, or will be
	}
	return err
}
