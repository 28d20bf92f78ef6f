// Package options is what the sidecar tells a fleet at its start. It stands by itself so that a sidecar without
// a fleet links none of what a fleet needs.
package options

import (
	"fieldrelay/internal/fleet/settings"
	"fieldrelay/internal/quota"
	rules "fieldrelay/internal/skew/settings"
	"fieldrelay/internal/verdict"
	"fieldrelay/logic"
)

// Options are what a fleet is started with.
type Options struct {
	Settings settings.Settings
	Quotas   quota.All
	Rules    rules.Settings
	Name     string              // the sidecar's, for settings that give none
	Words    []verdict.Statement // on execute nodes, kept from before
	// Changed is told all words on execute nodes when they change, on the actor's goroutine. It must not block.
	Changed func(all []verdict.Statement)
	Zone    string // where this sidecar stands
	// Avoid is told the execute nodes that get nothing new from here by verdict of the fleet, likewise.
	Avoid   func(nodes []string)
	Tenants []logic.Tenant // of the settings
	// Allot is told what of a tenant's allowance is this member's, in requests a second, likewise.
	Allot func(tenant string, rate float64)
	// Drains is told what is new of execute nodes that drain by the word of a member, likewise.
	Drains func(news []verdict.Statement)
}
