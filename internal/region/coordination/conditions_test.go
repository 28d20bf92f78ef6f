package coordination

import (
	"strconv"
	"time"

	"fieldrelay/internal/region/register"
)

func (o *testRegister) conditions(left time.Duration) register.Conditions {
	return register.Conditions{LeaseRemaining: left, BatchID: strconv.Itoa(o.executions)}
}
