package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/settings"
)

// controlMachine is the settings file of a control machine, up to the heading of the table of zones.
const controlMachine = `hostname = "core-1"
machine-class = "core"
roles = ["ctl", "dir"]
ip-addr = "127.77.1.2"
az = "region-01-hall-01"
geo = "region-01"
port-range = [7660, 7675]
seed-nodes = ["127.77.1.1:8146", "127.77.1.2:8146", "127.77.1.3:8146"]
bootstrap = true
quorum-member = true
state-dir = "/var/lib/fieldrelay"
[binds]
ctl = "127.77.1.2:8146"
dir = "127.77.1.2:8146"
[req-limits]
ram-mb = 256
[fault-budget]
hosts-lost = 1
zones = 1
[bounds]
ttl_max_s = 5
[cloud-api]
address = "127.77.0.1:8142"
rate-s = 100
max-lag-ms = 800
[zones]
`

func TestControlMachineOfManyZonesIsValid(t *testing.T) {
	const zoneCount, regionCount = 43, 18
	zones := make(map[string]string, zoneCount)
	text := strings.Builder{}
	text.WriteString(controlMachine)
	for number := range zoneCount {
		region := fmt.Sprintf("region-%02d", number%regionCount)
		zone := fmt.Sprintf("%s-hall-%02d", region, number)
		zones[zone] = region
		fmt.Fprintf(&text, "%s = %q\n", zone, region)
	}
	read, err := settings.Parse([]byte(text.String()))
	require.NoError(t, err)
	require.Equal(t, "core-1", read.Hostname)
	require.Equal(t, 1, read.FaultBudget.Zones)
	require.Len(t, read.Zones, zoneCount)
	require.Equal(t, read.Region, read.RegionOf(read.Zone))
	for zone, region := range zones {
		require.Equal(t, region, read.RegionOf(zone))
	}
}
