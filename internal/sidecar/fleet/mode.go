package fleet

// Mode is the state of a sidecar's connection to its fleet. A sidecar serves requests in each mode.
type Mode uint8

// The modes.
const (
	Alone       Mode = iota // this process has not yet held the lease on a view
	Together                // this process holds the lease on a view
	Partitioned             // this process has held the lease on a view and holds none now; "cut off" in texts for operators
	Yielded                 // another living process has this one's name, and the Core has stopped
)

// String returns the mode's name for operators.
func (m Mode) String() string { return [...]string{"alone", "together", "cut off", "yielded"}[m] }

// updateMode changes the mode according to the lease on the view.
func (c *Core) updateMode() {
	if c.mode == Yielded {
		return
	}
	switch held := c.views.HoldsLease(c.now); {
	case !held && c.mode == Together:
		c.rejoinAt = 0
		c.changeMode(Partitioned, "lease on view "+c.viewID()+" expired")
	case !held:
		c.rejoinAt = 0
	case c.mode == Partitioned && c.rejoinAt == 0: // jitter, so that members do not all return at once after a partition
		c.rejoinAt = c.now + c.jitter()
	case c.mode == Alone || c.mode == Partitioned && c.rejoinAt <= c.now:
		c.rejoinAt = 0
		c.changeMode(Together, "lease on view "+c.viewID()+" acquired")
	}
}

// viewID returns the number of the present view, for operators.
func (c *Core) viewID() string {
	v, _ := c.views.View()
	return v.ID.String()
}

// changeMode enters a mode, if it is not the present one, and emits the change.
func (c *Core) changeMode(mode Mode, reason string) {
	if mode != c.mode {
		c.out = append(c.out, ModeChanged{Mode: mode, Was: c.mode, Reason: reason})
		c.mode = mode
	}
}
