package view

// Fence rejects operations under a view that is older than one it has already passed. The view's ID serves as the fencing token
// (Kleppmann). A process can be paused between the check of its lease and the operation, so each operation carries the ID of
// the view under which it is requested, and the process that executes it checks a Fence first. The zero Fence has passed no
// view yet. A Fence is not safe for concurrent use.
type Fence struct{ highest ID }

// Pass reports whether an operation under the view by may be executed. A view of another era passes if that era is later.
func (f *Fence) Pass(by ID) bool {
	if by.Compare(f.highest) < 0 {
		return false
	}
	f.highest = by
	return true
}
