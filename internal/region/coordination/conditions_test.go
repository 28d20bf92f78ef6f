package coordination

import (
	"math"
	"strconv"
	"time"

	"fieldrelay/internal/region/register"
)

func (o *testRegister) conditions(left time.Duration) register.Conditions {
	return register.Conditions{LeaseRemaining: left, FreeBytes: math.MaxInt, BatchID: strconv.Itoa(o.executions)}
}
