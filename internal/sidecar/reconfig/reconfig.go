// Package reconfig changes the settings of several parts of a running program
// atomically, by a two-phase commit: all parts prepare, and the changes take
// effect only if every part could prepare.
package reconfig

import "fmt"

// Change is a prepared change of one part. Exactly one of its methods is called.
type Change interface {
	// Commit makes the change take effect. It cannot fail.
	Commit()
	// Abort releases what was prepared.
	Abort()
}

// Participant is a part of the program that has settings of type S.
type Participant[S any] struct {
	Name string
	// Prepare does everything that can fail, and changes nothing that is in use. A nil Change means that nothing changes.
	Prepare func(next S) (Change, error)
}

// Apply makes all parts prepare, in order, and then commits their changes. If a part fails to prepare, the changes prepared
// before it are aborted in reverse order, and the error names the part.
func Apply[S any](parts []Participant[S], next S) error {
	var prepared []Change
	for _, p := range parts {
		c, err := p.Prepare(next)
		if err != nil {
			for i := len(prepared) - 1; i >= 0; i-- {
				prepared[i].Abort()
			}
			return fmt.Errorf("%s: %w", p.Name, err)
		}
		if c != nil {
			prepared = append(prepared, c)
		}
	}
	for _, c := range prepared {
		c.Commit()
	}
	return nil
}

// Do is a change that needs no preparation.
type Do func()

// Commit calls the function.
func (d Do) Commit() { d() }

// Abort does nothing: nothing was prepared.
func (Do) Abort() {}
