package coordination

import (
	"strconv"
	"time"

	"fieldrelay/internal/region/register"
)

func (o *object) conditions(left time.Duration) register.Conditions {
	return register.Conditions{HoldRemaining: left, Round: strconv.Itoa(o.executions)}
}
