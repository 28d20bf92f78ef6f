package platform

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/source/endpoints"
	"fieldrelay/internal/testkit/contract"
)

// names is a sink that records the names of the listed servers.
type names struct {
	now  map[string]bool
	told func(map[string]bool)
	gone func()
}

func (n *names) ListLost(time.Time) { n.gone() }
func (n *names) UpdateMembers(l relay.Members) {
	if l.Stored {
		return
	}
	if l.Complete {
		clear(n.now)
	}
	for _, m := range l.Members {
		if m.State == logic.Gone {
			delete(n.now, m.Name)
		} else {
			n.now[m.Name] = true
		}
	}
	n.told(maps.Clone(n.now))
}

var sources = contract.SourceMaker{IdleTimeout: idleTimeout, Heartbeat: "\n",
	Begin: func(_ contract.T, address string, told func(map[string]bool), lost func()) (contract.Source, error) {
		a := New(address, &names{map[string]bool{}, told, lost}, nil, zerolog.Nop())
		a.Start(endpoints.List{})
		return a, nil
	},
	List: func(names ...string) string { return object(1, true, "Ready", names...) },
	Change: func(generation int, name string, there bool) string {
		if !there {
			return object(generation, false, "Gone", name)
		}
		return object(generation, false, "Ready", name)
	}}

func object(generation int, reset bool, lifecycle string, names ...string) string {
	var entries []string
	for _, n := range names {
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":"h:1","lifecycle":%q}`, n, lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`+"\n", generation, reset, strings.Join(entries, ","))
}

func TestSourceContract(t *testing.T) {
	contract.Run(t, contract.SourceClauses, sources)
}

// Each clause of the contract is reported by its name for a source that violates it.
func TestBrokenSourcesAreNamed(t *testing.T) {
	wrap := func(told func(func(map[string]bool)) func(map[string]bool), lost func(func()) func(), end func(contract.Source) contract.Source) contract.SourceMaker {
		m, begin := sources, sources.Begin
		m.Begin = func(t contract.T, address string, t1 func(map[string]bool), l func()) (contract.Source, error) {
			if told != nil {
				t1 = told(t1)
			}
			if lost != nil {
				l = lost(l)
			}
			s, err := begin(t, address, t1, l)
			if end != nil {
				s = end(s)
			}
			return s, err
		}
		return m
	}
	deaf := wrap(nil, nil, nil)
	deaf.IdleTimeout = 60 * idleTimeout / 10
	for clause, m := range map[int]contract.SourceMaker{
		0: wrap(func(told func(map[string]bool)) func(map[string]bool) { // the last change is held back
			return func(n map[string]bool) {
				if len(n) != 3 {
					told(n)
				}
			}
		}, nil, nil),
		1: wrap(nil, func(lost func()) func() { return func() { lost(); lost() } }, nil),
		3: wrap(nil, func(func()) func() { return func() {} }, nil),
		4: wrap(nil, nil, func(s contract.Source) contract.Source { return deafened{s, &sync.Once{}} }),
		5: wrap(nil, nil, func(s contract.Source) contract.Source {
			t.Cleanup(s.Close)
			return open{s}
		}),
	} {
		clause, m := contract.SourceClauses[clause], m
		t.Run(clause.Name, func(t *testing.T) {
			if clause.Name != contract.SourceClauses[5].Name {
				t.Parallel()
			}
			if err := clause.Check(t, m); err == nil {
				t.Error("not named")
			}
		})
	}
}

// deafened opens no second watch.
type deafened struct {
	contract.Source
	once *sync.Once
}

func (d deafened) Watch() { d.once.Do(d.Source.Watch) }

// open is never closed.
type open struct{ contract.Source }

func (open) Close() {}
