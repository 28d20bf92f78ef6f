package memorytuner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
)

const mb = 1 << 20

func TestPlanLeavesRoomForGarbage(t *testing.T) {
	at := Sizes{Resident: 9 * mb, File: 6 * mb, RuntimeCounted: 6 * mb}
	for _, limit := range []int64{24, 32, 64, 192} {
		p := NewPlan(limit*mb, at)
		held := p.Budget()
		if held <= 0 || p.Floor+held > p.Limit*9/10 {
			t.Errorf("%d MB: floor %d and budget %d", limit, p.Floor, held)
		}
		soft, percent := p.Collector(at, held)
		if soft+p.File-at.untouched() > p.Limit {
			t.Errorf("%d MB: the runtime may hold %d beside %d of the file", limit, soft, p.File)
		}
		if free, _ := p.Collector(at, 0); free != soft {
			t.Errorf("%d MB: the runtime's limit moves with what is held", limit)
		}
		if percent < minGCPercent || percent > maxGCPercent {
			t.Errorf("%d MB: %d percent", limit, percent)
		}
	}
	if p := NewPlan(10*mb, at); p.Budget() <= 0 {
		t.Error("a limit under the floor leaves no budget at all")
	}
}

// Memory that the runtime counts but has never touched is not resident: the soft limit is raised by as much.
func TestUntouchedMemoryDoesNotCount(t *testing.T) {
	at := Sizes{Resident: 9 * mb, File: 6 * mb, RuntimeCounted: 3 * mb}
	p := NewPlan(24*mb, at)
	tight, _ := p.Collector(at, 0)
	at.RuntimeCounted += 4 * mb
	if loose, _ := p.Collector(at, 0); loose-tight != 4*mb {
		t.Errorf("%d more", loose-tight)
	}
}

// Above shrinkAbove the budget shrinks check by check, stays as it is in between, and below growBelow it grows back.
func TestBudgetFollowsTheSystem(t *testing.T) {
	p := NewPlan(100*mb, Sizes{Resident: 10 * mb})
	const full = 60 * mb
	size, by := p.Resize(full, full, 99*mb)
	if size >= full || by != full-size {
		t.Errorf("too much is resident: %d, by %d", size, by)
	}
	if again, _ := p.Resize(size, full, 97*mb); again >= size {
		t.Errorf("still too much: %d", again)
	}
	if same, by := p.Resize(size, full, 90*mb); same != size || by != 0 {
		t.Errorf("neither too much nor room: %d, by %d", same, by)
	}
	checks := 0
	for ; size < full && checks < 100; checks++ {
		size, _ = p.Resize(size, full, 50*mb)
	}
	if checks == 100 || size != full {
		t.Errorf("%d after %d checks with room", size, checks)
	}
}

// Memory that a burst has left is returned to the system even if the burst caused no pressure; memory in use is not.
func TestSurplus(t *testing.T) {
	p := NewPlan(192*mb, Sizes{Resident: 9 * mb})
	got := []bool{p.Surplus(Sizes{Resident: 12 * mb}, 0), p.Surplus(Sizes{Resident: 80 * mb}, 2*mb), p.Surplus(Sizes{Resident: 80 * mb}, 40*mb)}
	if got[0] || !got[1] || got[2] {
		t.Error(got)
	}
}

// Watch calls relieve at every check while there is pressure.
func TestWatchRelieves(t *testing.T) {
	sizes, err := Read()
	if err != nil {
		t.Skip(err)
	}
	if sizes.Resident < sizes.File || sizes.RuntimeCounted == 0 {
		t.Errorf("%+v", sizes)
	}
	gate := budget.NewGate(4*mb, 1)
	asked := make(chan budget.Pressure, 64)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		Watch(NewPlan(1<<40, sizes), gate, func(d budget.Pressure) {
			select {
			case asked <- d:
			default:
			}
		}, zerolog.Nop(), stop)
		close(ended)
	}()
	held := gate.ForceReserve(budget.Conns, 3*mb)
	for want := budget.CloseIdle; ; {
		select {
		case d := <-asked:
			if d < want {
				continue
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no relief was asked for")
		}
		break
	}
	held.Release()
	close(stop)
	<-ended
}
