// Package options is what a sidecar starts its fleet with. It is a package of its own so that a sidecar without a fleet does not
// link what a fleet needs.
package options

import (
	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
	rules "fieldrelay/internal/sidecar/versionskew/settings"
)

// Options are what a fleet is started with.
type Options struct {
	Settings    settings.Settings
	Quotas      quota.SettingsList
	Rules       rules.Settings
	Name        string              // the sidecar's, if the settings have none
	Suspensions []verdict.Statement // on suspended execute nodes, stored by an earlier process
	// SuspensionsChanged is called with all statements on suspended execute nodes when they change, on the actor's goroutine. It must not
	// block; nor must the other functions, which are called likewise.
	SuspensionsChanged func(all []verdict.Statement)
	Zone               string // failure domain of this sidecar
	// Avoid is called with all execute nodes to which this sidecar is to send nothing new, by verdict of the fleet.
	Avoid   func(nodes []string)
	Tenants []logic.Tenant // of the settings
	// AllotmentChanged is called with this member's share of a tenant's allowance, in requests a second; -1: an equal share.
	AllotmentChanged func(tenant string, rate float64)
	// DrainingChanged is called with new statements of members on draining execute nodes.
	DrainingChanged func(updates []verdict.Statement)
}
