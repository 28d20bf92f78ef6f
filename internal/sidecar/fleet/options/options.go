// Package options defines the options that a sidecar starts its fleet with. It is separate from package fleet so that a sidecar
// without a fleet does not link the dependencies of the fleet.
package options

import (
	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
	rules "fieldrelay/internal/sidecar/versionskew/settings"
)

// Options configure a fleet at its start.
type Options struct {
	Settings    settings.Settings
	Quotas      quota.SettingsList
	Rules       rules.Settings
	Name        string              // name of the sidecar, used if the settings name no member
	Suspensions []verdict.Statement // statements on suspended execute nodes that an earlier process stored
	// SuspensionsChanged is called with all statements on suspended execute nodes when they change. This callback and the others
	// run on the actor's goroutine and must not block.
	SuspensionsChanged func(all []verdict.Statement)
	Zone               string // failure domain of this sidecar
	// Avoid is called with all execute nodes to which this sidecar must send no new requests, by the verdict of the fleet.
	Avoid   func(nodes []string)
	Tenants []logic.Tenant // tenants of the settings
	// AllotmentChanged is called with this member's share of a tenant's allowance, in requests per second; -1: an equal share.
	AllotmentChanged func(tenant string, rate float64)
	// DrainingChanged is called with new statements by members on draining execute nodes.
	DrainingChanged func(updates []verdict.Statement)
}
