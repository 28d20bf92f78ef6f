package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/settings"
)

// process is a child of the trial.
type process struct {
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// start runs a program whose output goes to a file.
func start(logPath string, environment []string, program string, arguments ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open a log")
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), environment...)
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %s", program)
	}
	one := &process{command: command, log: log, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(one.ended)
	}()
	return one, nil
}

func (p *process) usage() (Usage, error) { return usageOf(p.command.Process.Pid) }

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

const controlSettings = `hostname = "core-%[1]d"
machine-class = "core"
roles = ["ctl", "dir"]
ip-addr = "%[2]s"
az = "%[3]s"
geo = "%[4]s"
port-range = [%[5]d, %[6]d]
seed-nodes = [%[7]s]
bootstrap = true
quorum-member = true
state-dir = "%[8]s"
[zones]
%[9]s
[binds]
ctl = "%[10]s"
dir = "%[10]s"
[req-limits]
ram-mb = 256
[fault-budget]
hosts-lost = 1
zones = 1
[bounds]
ttl_max_s = 5
[cloud-api]
address = "%[11]s:%[12]d"
rate-s = %[13]d
max-lag-ms = 800
`

// startControl writes the settings of a control machine and starts its process.
func startControl(d Deployment, binary, folder string, number int) (*process, error) {
	zones := make([]string, 0, d.Zones)
	for zone, region := range d.zones() {
		zones = append(zones, fmt.Sprintf("%s = %q", zone, region))
	}
	seeds := make([]string, 0, d.Controls)
	for _, seed := range d.seeds() {
		seeds = append(seeds, strconv.Quote(seed))
	}
	own := filepath.Join(folder, "core-"+strconv.Itoa(number))
	state := filepath.Join(own, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, errors.Wrap(err, "make a state folder")
	}
	text := fmt.Sprintf(controlSettings, number, d.controlIP(number), d.zone(number), d.regionOfZone(number),
		firstPort, lastPort, strings.Join(seeds, ", "), state, strings.Join(zones, "\n"),
		d.controlAddress(number), d.platformIP(), platformPort, d.Rate)
	path := filepath.Join(own, "boot.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return start(filepath.Join(own, "log"), []string{settings.PathVariable + "=" + path}, binary, "control")
}

// startWorker starts a worker by this program's own worker command.
func startWorker(d Deployment, folder string, number, from, count int) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find this program")
	}
	arguments := []string{"worker"}
	for name, value := range map[string]int{
		"network": d.Network, "controls": d.Controls, "agents": d.Agents, "servers": d.Servers, "zones": d.Zones,
		"regions": d.Regions, "routes": d.Routes, "page": d.Page, "rate": d.Rate,
		"number": number, "from": from, "count": count,
	} {
		arguments = append(arguments, fmt.Sprintf("--%s=%d", name, value))
	}
	// The agents of one process share its heap; alone, each has the pace of a deployed process.
	return start(filepath.Join(folder, fmt.Sprintf("worker-%d.log", number)), nil, program, arguments...)
}

// ask gets a worker's answer.
func ask(ctx context.Context, d Deployment, worker int, path string, answer any) error {
	url := fmt.Sprintf("http://%s:%d%s", d.workerIP(worker), workerPort, path)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "form a call to a worker")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "call a worker")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(answer), "read a worker's answer")
}
