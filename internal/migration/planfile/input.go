package planfile

import (
	"cmp"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
	"fieldrelay/internal/route"
	"fieldrelay/internal/settings"
	"fieldrelay/internal/tomlfile"
)

// Usual times where neither the file nor the configuration tells them.
const (
	defaultStart  = 30 * time.Second // until a new node answers
	defaultLinger = time.Second      // on the way from a proxy to a server
	// addressTTLs is how many times an address's time to live some clients keep it.
	addressTTLs = 3
)

// Inventory is what is known of the deployment.
type Inventory struct {
	Settings *settings.Settings
	Snapshot *catalog.Snapshot // the configuration in force
	Servers  []*pb.Server
	Agents   []*pb.AgentRecord
	View     *pb.View
	Loads    []room.Load // as measured, for a file without periods
}

// assembly joins a file and an inventory.
type inputBuilder struct {
	file        *File
	inventory   *Inventory
	table       *route.Table
	nodes       []room.Node
	idByAddress map[string]string // ids of servers by address
}

// Input makes the input of a planner. The error is a *plan.InputError if the file names what is not there, or a
// *FaultsError if it was not checked.
func (f *File) Input(inventory *Inventory) (plan.Input, error) {
	if err := tomlfile.Join(formatName, f.validate()); err != nil {
		return plan.Input{}, err
	}
	a := &inputBuilder{file: f, inventory: inventory, idByAddress: make(map[string]string)}
	a.compileRoutes()
	a.addNodes()
	begin, _ := parseTimeOfDay(f.Begin)
	input := plan.Input{
		Nodes:         a.nodes,
		Headroom:      f.RequiredHeadroom(),
		Core:          a.control(),
		SurgeCapacity: a.surgeCapacity(),
		BatchFraction: f.BatchFraction,
		Begin:         begin,
		Window:        durationOr(f.Window, 0),
		Demand:        a.demand(),
	}
	for index := range f.Replacements {
		replacement, err := a.replacement(&f.Replacements[index])
		if err != nil {
			return plan.Input{}, err
		}
		input.Replacements = append(input.Replacements, replacement)
	}
	a.dropUnknownResources(&input)
	return input, nil
}

// RequiredHeadroom is what must stay free.
func (f *File) RequiredHeadroom() room.Headroom {
	return room.Headroom{Margin: f.Headroom.Margin, Hosts: f.Headroom.Hosts, Zones: f.Headroom.Zones, Regions: f.Headroom.Regions}
}

func (a *inputBuilder) compileRoutes() {
	var items []*pb.Item
	for _, kind := range []string{catalog.KindRoutes, catalog.KindBackends} {
		items = append(items, a.inventory.Snapshot.Items(kind)...)
	}
	a.table, _ = route.FromItems(items) // what cannot be used does not serve
}

func (a *inputBuilder) addNodes() {
	for _, listed := range a.inventory.Servers {
		if listed.GetDraining() {
			continue
		}
		node := a.serverNode(listed)
		a.idByAddress[listed.GetAddress()] = node.ID
		a.nodes = append(a.nodes, node)
	}
	for _, agent := range a.inventory.Agents {
		node := room.Node{ID: agent.GetHost(), Kind: room.Edge, Zone: agent.GetZone(), Region: agent.GetRegion()}
		node.Capacity = a.applyFileCapacity(&node, false, node.Capacity)
		a.nodes = append(a.nodes, node)
	}
	for _, voter := range a.inventory.View.GetVoters() {
		a.nodes = append(a.nodes, room.Node{
			ID: voter.GetHost(), Kind: room.Core, Zone: voter.GetZone(), Region: voter.GetRegion(),
		})
	}
}

func (a *inputBuilder) serverNode(listed *pb.Server) room.Node {
	node := room.Node{
		ID:      listed.GetId(),
		Kind:    room.Server,
		Zone:    listed.GetZone(),
		Region:  a.inventory.Settings.RegionOf(listed.GetZone()),
		Service: listed.GetService(),
		Models:  slices.Sorted(slices.Values(listed.GetModels())),
	}
	node.Capacity[room.Slots] = float64(listed.GetCapacity())
	if service, found := a.table.Service(node.Service); found {
		node.Capacity[room.Connections] = float64(service.MaxConnections)
		if service.Runtime != nil {
			node.Capacity[room.Slots] = cmp.Or(float64(service.Runtime.Capacity), node.Capacity[room.Slots])
			node.Capacity[room.Memory] = float64(service.Runtime.CacheTokens)
		}
	}
	node.Capacity = a.applyFileCapacity(&node, false, node.Capacity)
	return node
}

// told puts in what the file tells of a node's capacity.
func (a *inputBuilder) applyFileCapacity(node *room.Node, isNew bool, capacity room.Amount) room.Amount {
	for index := range a.file.Capacities {
		one := &a.file.Capacities[index]
		if one.Kind != string(node.Kind) || one.Service != node.Service || (one.New && !isNew) {
			continue
		}
		for resource, amount := range one.amount() {
			capacity[resource] = cmp.Or(amount, capacity[resource])
		}
	}
	return capacity
}

func (a *inputBuilder) control() plan.Core {
	budget := a.inventory.Settings.FaultBudget
	core := plan.Core{Hosts: budget.Hosts, Zones: budget.Zones}
	for _, voter := range a.inventory.View.GetVoters() {
		core.Voters = append(core.Voters, plan.Voter{ID: voter.GetHost(), Zone: voter.GetZone()})
	}
	return core
}

func (a *inputBuilder) surgeCapacity() map[plan.SurgePool]int {
	places := make(map[plan.SurgePool]int)
	for _, one := range a.file.SurgePools {
		places[plan.SurgePool{Zone: one.Zone, Kind: room.Kind(one.Kind)}] = one.Free
	}
	return places
}

func (a *inputBuilder) demand() room.Profile {
	if len(a.file.Periods) == 0 {
		return room.Constant(slices.Clone(a.inventory.Loads))
	}
	profile := room.Profile{Cycle: day}
	for index := range a.file.Periods {
		one := &a.file.Periods[index]
		period := room.Period{}
		period.Begin, _ = parseTimeOfDay(one.From)
		period.End, _ = parseTimeOfDay(one.Until)
		for position := range one.Loads {
			period.Loads = append(period.Loads, one.Loads[position].load())
		}
		profile.Periods = append(profile.Periods, period)
	}
	return profile
}

func (l *Load) load() room.Load {
	return room.Load{
		Region:        l.Region,
		Group:         room.Group{Kind: room.Kind(l.Kind), Service: l.Service},
		Model:         l.Model,
		HomeRegions:   l.HomeRegions,
		Required:      l.amount(),
		CachedPrefill: l.CachedPrefill,
	}
}

func (a *inputBuilder) replacement(one *Replacement) (plan.Replacement, error) {
	id := one.Old
	if one.Kind == string(room.Server) {
		id = cmp.Or(a.idByAddress[one.Old], one.Old)
	}
	index := slices.IndexFunc(a.nodes, func(node room.Node) bool { return node.ID == id && string(node.Kind) == one.Kind })
	if index < 0 {
		return plan.Replacement{}, &plan.InputError{Node: one.Old, Reason: "is to be replaced, but is not there"}
	}
	old := a.nodes[index]
	next := old
	next.ID = one.New
	next.Zone = cmp.Or(one.Zone, old.Zone)
	next.Region = cmp.Or(a.inventory.Settings.RegionOf(next.Zone), old.Region)
	next.Capacity = a.applyFileCapacity(&next, true, old.Capacity)
	return plan.Replacement{Old: old, New: next, Surge: one.Surge, Times: a.times(&old, one)}, nil
}

// dropUnknownResources leaves resources out of the demand on a group of which no node's capacity is told.
func (a *inputBuilder) dropUnknownResources(input *plan.Input) {
	told := make(map[room.Group]room.Amount)
	for index := range a.nodes {
		group := a.nodes[index].Group()
		told[group] = told[group].Add(a.nodes[index].Capacity)
	}
	for period := range input.Demand.Periods {
		for index := range input.Demand.Periods[period].Loads {
			load := &input.Demand.Periods[period].Loads[index]
			for resource, amount := range told[load.Group] {
				if amount == 0 {
					load.Required[resource] = 0
				}
			}
		}
	}
}
