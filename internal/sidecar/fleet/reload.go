package fleet

import (
	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/versionskew"
	rulesettings "fieldrelay/internal/sidecar/versionskew/settings"
)

// SetQuotas replaces the limits of the fleet.
func (f *Fleet) SetQuotas(all quota.SettingsList) {
	f.box.Put(func() {
		f.rules.fileLimits = all
		if !f.rules.hasEditionLimits { // limits of the edition in force take precedence over those of the operator's file
			f.step(SetLimits{f.limits.set(all)})
		}
	})
}

// SetTenants replaces the tenants, whose allowances the fleet may divide.
func (f *Fleet) SetTenants(tenants []logic.Tenant) {
	f.box.Put(func() { f.step(SetLimits{f.limits.setTenants(tenants)}) })
}

// Reload applies new settings, of which only join and dial may differ from the present ones.
func (f *Fleet) Reload(next settings.Settings) {
	f.box.Put(func() {
		f.settings.Join, f.settings.Dial = next.Join, next.Dial
		f.step(SetSeeds{Join: next.Join})
	})
}

// CheckRules returns the faults of the rules file that new settings name. It changes nothing.
func (f *Fleet) CheckRules(next rulesettings.Settings) error {
	if next.File == "" {
		return nil
	}
	_, err := versionskew.ReadFile(next.File)
	return err
}

// SetRules pushes the content of the rules file, if it has changed since the last push.
func (f *Fleet) SetRules(next rulesettings.Settings) {
	var e rules.Edition
	if next.File != "" {
		var err error
		if e, err = versionskew.ReadFile(next.File); err != nil { // the file has changed since CheckRules
			f.log.Error().Err(err).Msg("rules not pushed")
			return
		}
	}
	f.box.Put(func() {
		if next.File != "" && e.Digest() != f.rules.pushedDigest {
			f.rules.pushedDigest = e.Digest()
			f.step(PushRules{e})
		}
	})
}
