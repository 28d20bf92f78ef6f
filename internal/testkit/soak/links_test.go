package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/testkit/faultline"
	"fieldrelay/internal/testkit/localcluster"
)

// linksVariable names the file that tells a process by which link it reaches an address.
const linksVariable = "SOAK_LINKS"

// dialLimit bounds the opening of a connection, as the system's own dialers do.
const dialLimit = 700 * time.Millisecond

// Ports of a machine, counted from the first for own messages.
const (
	controlPort = 0
	agentPort   = 1
	feedPort    = 2
)

// loadDialer is the dialer of a process, by the file that its environment names.
func loadDialer() (*faultline.Dialer, error) {
	text, err := os.ReadFile(os.Getenv(linksVariable))
	if err != nil {
		return nil, errors.Wrap(err, "read the links")
	}
	dialer := &faultline.Dialer{Limit: dialLimit}
	return dialer, errors.Wrap(json.Unmarshal(text, &dialer.Links), "read the links")
}

// openLinks opens a link from each machine to each other one that it calls, and writes a file for each machine that
// tells it its links. Control machines call one another, agents call them and other agents.
func openLinks(plan *localcluster.Layout, folder string, network *faultline.Network) error {
	for _, from := range plan.All() {
		links := make(map[string]string)
		for _, to := range plan.All() {
			if from == to || from.QuorumMember && !to.QuorumMember {
				continue
			}
			target := to.Port(agentPort)
			if to.QuorumMember {
				target = to.Port(controlPort)
			}
			link, err := network.Open(faultline.Way{From: from.Hostname, To: to.Hostname}, target)
			if err != nil {
				return errors.Wrap(err, "open a link")
			}
			links[target] = link
		}
		if err := os.WriteFile(linksPath(folder, from), marshal(links), 0o600); err != nil {
			return errors.Wrap(err, "write the links")
		}
	}
	return nil
}

func linksPath(folder string, of *settings.Settings) string {
	return filepath.Join(folder, of.Hostname+"-links.json")
}
