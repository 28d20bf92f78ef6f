package fleet

// Mode is how much of the fleet a sidecar has. Placement goes on in each of them.
type Mode uint8

// The modes.
const (
	Alone       Mode = iota // never in an agreed view
	Together                // a view is held
	Partitioned             // a view was held, and is no longer
	Yielded                 // another living process has this one's name
)

func (m Mode) String() string { return [...]string{"alone", "together", "cut off", "yielded"}[m] }

func (c *Core) updateMode() {
	if c.mode == Yielded {
		return
	}
	switch held := c.views.HoldsLease(c.now); {
	case !held && c.mode == Together:
		c.rejoinAt = 0
		c.changeMode(Partitioned, "the lease of view "+c.viewID()+" ran out")
	case !held:
		c.rejoinAt = 0
	case c.mode == Partitioned && c.rejoinAt == 0: // who come back do so one after another
		c.rejoinAt = c.now + c.jitter()
	case c.mode == Alone || c.mode == Partitioned && c.rejoinAt <= c.now:
		c.rejoinAt = 0
		c.changeMode(Together, "view "+c.viewID()+" is held")
	}
}

func (c *Core) viewID() string {
	v, _ := c.views.View()
	return v.ID.String()
}

func (c *Core) changeMode(mode Mode, why string) {
	if mode != c.mode {
		c.out = append(c.out, ModeChanged{Mode: mode, Was: c.mode, Reason: why})
		c.mode = mode
	}
}
