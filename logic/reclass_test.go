package logic

import (
	"testing"
	"time"
)

// Classes added by new settings are served from then on, dropped ones are not, and what was learnt of a class
// that did not change is kept.
func TestReclass(t *testing.T) {
	a := Class{Name: "a", Deadline: time.Second}
	b, err := New(Config{Tick: 5 * time.Millisecond, Classes: []Class{a}, Limits: Limits{MaxAttempts: 3}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	fails := func(id uint64, class string) bool {
		acts := b.Step(time.Second, &Event{Kind: EvRequest, Request: id, Class: class, Expires: 2 * time.Second}, nil)
		for _, act := range acts {
			if act.Kind == ActFail && act.Request == id {
				return true
			}
		}
		return false
	}
	if !fails(1, "b") {
		t.Error("a class not yet named is served")
	}
	learnt := b.classes["a"]
	bClass := Class{Name: "b", Deadline: 2 * time.Second}
	if err := b.SetClasses([]Class{a, bClass}, 2); err != nil {
		t.Fatal(err)
	}
	if fails(2, "b") {
		t.Error("an added class is not served")
	}
	if b.classes["a"] != learnt || b.cfg.Limits.MaxAttempts != 2 {
		t.Error("an unchanged class lost what was learnt of it, or the bound on attempts did not change")
	}
	if err := b.SetClasses([]Class{bClass}, 0); err != nil || b.cfg.Limits.MaxAttempts != 1 {
		t.Fatal(err, b.cfg.Limits.MaxAttempts)
	}
	if !fails(3, "a") {
		t.Error("a dropped class is served")
	}
	if b.SetClasses([]Class{{Name: "c", Deadline: -1}}, 1) == nil || b.classes["b"] == nil {
		t.Error("classes with a negative time are taken")
	}
}
