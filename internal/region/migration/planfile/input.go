package planfile

import (
	"cmp"
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
	"fieldrelay/internal/region/route"
	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/region/tomlfile"
)

// Inventory is the known state of the deployment.
type Inventory struct {
	Settings *settings.Settings
	Snapshot *catalog.Snapshot // the configuration in force
	Servers  []*pb.Server
	Agents   []*pb.AgentRecord
	View     *pb.View
	Loads    []capacity.Load // measured demand, which is used if the file has no periods
}

// inputBuilder builds the input of the planner from a file and an inventory.
type inputBuilder struct {
	file        *File
	inventory   *Inventory
	table       *route.Table
	nodes       []capacity.Node
	idByAddress map[string]string // ID of each server by its address
}

// Input returns the input of the planner. The error is a *plan.InputError if the file names a node that does not exist, or
// a *FaultsError if the file is invalid.
func (f *File) Input(inventory *Inventory) (plan.Input, error) {
	if err := tomlfile.Join(formatName, f.validate()); err != nil {
		return plan.Input{}, err
	}
	b := &inputBuilder{file: f, inventory: inventory, idByAddress: make(map[string]string)}
	b.compileRoutes()
	b.addNodes()
	begin, _ := parseTimeOfDay(f.Begin)
	input := plan.Input{
		Nodes:         b.nodes,
		Headroom:      f.RequiredHeadroom(),
		Core:          b.core(),
		SurgeCapacity: b.surgeCapacity(),
		BatchFraction: f.BatchFraction,
		Begin:         begin,
		Window:        durationOr(f.Window, 0),
		Demand:        b.demand(),
	}
	for index := range f.Replacements {
		replacement, err := b.replacement(&f.Replacements[index])
		if err != nil {
			return plan.Input{}, err
		}
		input.Replacements = append(input.Replacements, replacement)
	}
	b.dropUnknownResources(&input)
	return input, nil
}

// RequiredHeadroom returns the capacity that must stay free.
func (f *File) RequiredHeadroom() capacity.Headroom {
	return capacity.Headroom{Margin: f.Headroom.Margin, Hosts: f.Headroom.Hosts, Zones: f.Headroom.Zones, Regions: f.Headroom.Regions}
}

// compileRoutes compiles the routes and services in force. As on the proxies, items that cannot be compiled are left out;
// they serve no requests.
func (b *inputBuilder) compileRoutes() {
	var items []*pb.Item
	for _, kind := range []string{catalog.KindRoutes, catalog.KindBackends} {
		items = append(items, b.inventory.Snapshot.Items(kind)...)
	}
	b.table, _ = route.FromItems(items)
}

// addNodes adds the nodes that serve now. Draining servers are left out, since they get no new requests.
func (b *inputBuilder) addNodes() {
	for _, listed := range b.inventory.Servers {
		if listed.GetDraining() {
			continue
		}
		node := b.serverNode(listed)
		b.idByAddress[listed.GetAddress()] = node.ID
		b.nodes = append(b.nodes, node)
	}
	for _, agent := range b.inventory.Agents {
		node := capacity.Node{ID: agent.GetHost(), Kind: capacity.Edge, Zone: agent.GetZone(), Region: agent.GetRegion()}
		node.Capacity = b.applyFileCapacity(&node, false, node.Capacity)
		b.nodes = append(b.nodes, node)
	}
	for _, voter := range b.inventory.View.GetVoters() {
		b.nodes = append(b.nodes, capacity.Node{
			ID: voter.GetHost(), Kind: capacity.Core, Zone: voter.GetZone(), Region: voter.GetRegion(),
		})
	}
}

// serverNode returns the node of a server. Its capacity is that of the server list, overridden by the service's runtime and
// then by the file.
func (b *inputBuilder) serverNode(listed *pb.Server) capacity.Node {
	node := capacity.Node{
		ID:      listed.GetId(),
		Kind:    capacity.Server,
		Zone:    listed.GetZone(),
		Region:  b.inventory.Settings.RegionOf(listed.GetZone()),
		Service: listed.GetService(),
		Models:  slices.Sorted(slices.Values(listed.GetModels())),
	}
	node.Capacity[capacity.Slots] = float64(listed.GetCapacity())
	if service, found := b.table.Service(node.Service); found {
		node.Capacity[capacity.Connections] = float64(service.MaxConnections)
		if service.Runtime != nil {
			node.Capacity[capacity.Slots] = cmp.Or(float64(service.Runtime.Capacity), node.Capacity[capacity.Slots])
			node.Capacity[capacity.Memory] = float64(service.Runtime.CacheTokens)
		}
	}
	node.Capacity = b.applyFileCapacity(&node, false, node.Capacity)
	return node
}

// applyFileCapacity overrides a capacity with the amounts that the file gives for the node. isNew selects the entries for
// new nodes as well.
func (b *inputBuilder) applyFileCapacity(node *capacity.Node, isNew bool, capacity capacity.Amount) capacity.Amount {
	for index := range b.file.Capacities {
		entry := &b.file.Capacities[index]
		if entry.Kind != string(node.Kind) || entry.Service != node.Service || (entry.New && !isNew) {
			continue
		}
		for resource, amount := range entry.amount() {
			capacity[resource] = cmp.Or(amount, capacity[resource])
		}
	}
	return capacity
}

// core returns the voters of the view in force, with the fault budget of the settings.
func (b *inputBuilder) core() plan.Core {
	budget := b.inventory.Settings.FaultBudget
	core := plan.Core{Hosts: budget.Hosts, Zones: budget.Zones}
	for _, voter := range b.inventory.View.GetVoters() {
		core.Voters = append(core.Voters, plan.Voter{ID: voter.GetHost(), Zone: voter.GetZone()})
	}
	return core
}

// surgeCapacity returns the surge pools of the file.
func (b *inputBuilder) surgeCapacity() map[plan.SurgePool]int {
	free := make(map[plan.SurgePool]int)
	for _, pool := range b.file.SurgePools {
		free[plan.SurgePool{Zone: pool.Zone, Kind: capacity.Kind(pool.Kind)}] = pool.Free
	}
	return free
}

// demand returns the periods of the file, or the measured loads as constant demand.
func (b *inputBuilder) demand() capacity.Profile {
	if len(b.file.Periods) == 0 {
		return capacity.Constant(slices.Clone(b.inventory.Loads))
	}
	profile := capacity.Profile{Cycle: day}
	for index := range b.file.Periods {
		filePeriod := &b.file.Periods[index]
		period := capacity.Period{}
		period.Begin, _ = parseTimeOfDay(filePeriod.From)
		period.End, _ = parseTimeOfDay(filePeriod.Until)
		for position := range filePeriod.Loads {
			period.Loads = append(period.Loads, filePeriod.Loads[position].load())
		}
		profile.Periods = append(profile.Periods, period)
	}
	return profile
}

func (l *Load) load() capacity.Load {
	return capacity.Load{
		Region:        l.Region,
		Group:         capacity.Group{Kind: capacity.Kind(l.Kind), Service: l.Service},
		Model:         l.Model,
		HomeRegions:   l.HomeRegions,
		Required:      l.amount(),
		CachedPrefill: l.CachedPrefill,
	}
}

// replacement returns the planner's replacement for one of the file. The error is a *plan.InputError.
func (b *inputBuilder) replacement(entry *Replacement) (plan.Replacement, error) {
	id := entry.Old
	if entry.Kind == string(capacity.Server) {
		id = cmp.Or(b.idByAddress[entry.Old], entry.Old)
	}
	index := slices.IndexFunc(b.nodes, func(node capacity.Node) bool { return node.ID == id && string(node.Kind) == entry.Kind })
	if index < 0 {
		return plan.Replacement{}, &plan.InputError{Node: entry.Old, Reason: "is to be replaced, but does not exist"}
	}
	old := b.nodes[index]
	next := old
	next.ID = entry.New
	next.Zone = cmp.Or(entry.Zone, old.Zone)
	next.Region = cmp.Or(b.inventory.Settings.RegionOf(next.Zone), old.Region)
	next.Capacity = b.applyFileCapacity(&next, true, old.Capacity)
	return plan.Replacement{Old: old, New: next, Surge: entry.Surge, Times: b.times(&old, entry)}, nil
}

// dropUnknownResources removes from the demand the resources for which no capacity of the group is known. Otherwise an
// unknown capacity would count as no capacity.
func (b *inputBuilder) dropUnknownResources(input *plan.Input) {
	known := make(map[capacity.Group]capacity.Amount)
	for index := range b.nodes {
		group := b.nodes[index].Group()
		known[group] = known[group].Add(b.nodes[index].Capacity)
	}
	for period := range input.Demand.Periods {
		for index := range input.Demand.Periods[period].Loads {
			load := &input.Demand.Periods[period].Loads[index]
			for resource, amount := range known[load.Group] {
				if amount == 0 {
					load.Required[resource] = 0
				}
			}
		}
	}
}
