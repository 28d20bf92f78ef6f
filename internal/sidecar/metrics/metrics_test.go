package metrics

import (
	"slices"
	"testing"
)

func TestLines(t *testing.T) {
	r := New("lb")
	r.Count("tukar", Success)
	r.Count("tukar", Success)
	r.Count("cek", Busy)
	r.Count("cek", Outcome(200)) // listed, nothing counted
	r.Inflight.Add(3)
	r.BackendCalls.Add(5)
	r.Reconfigured(true)
	r.Reconfigured(false)
	r.Hosts(func() (int, int) { return 4, 1 })
	want := []string{
		"lb.calls.cek.success:0|c", "lb.calls.cek.busy:1|c", "lb.calls.cek.failure:0|c",
		"lb.calls.tukar.success:2|c", "lb.calls.tukar.busy:0|c", "lb.calls.tukar.failure:0|c",
		"lb.backend_calls:5|c", "lb.reconfig_ok:1|c", "lb.reconfig_failed:1|c",
		"lb.inflight:3|g", "lb.hosts_listed:4|g", "lb.hosts_down:1|g",
	}
	if got := r.Lines(); !slices.Equal(got, want) {
		t.Errorf("%q\nwant %q", got, want)
	}
	var none *Registry
	none.Count("x", Success)
	none.Reconfigured(true)
}

func TestClassesBounded(t *testing.T) {
	r := New("lb")
	for i := range MaxClasses + 10 {
		r.Count(string(rune('a'+i%26))+string(rune('a'+i/26)), Failure)
	}
	if len(r.classes) != MaxClasses+1 || r.classes[Other][Failure].Load() != 10 {
		t.Errorf("%d classes, %d other", len(r.classes), r.classes[Other][Failure].Load())
	}
}
