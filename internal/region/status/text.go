package status

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// columnPadding is the number of spaces between the columns of tables.
const columnPadding = 2

// WriteText writes a survey as text for people: the findings first, then the view, the control machines, the calls of
// applications and the agents.
func (s *Survey) WriteText(output io.Writer) error {
	var text strings.Builder
	s.writeFindings(&text)
	s.writeView(&text)
	s.writeMachines(&text)
	s.writeCoordination(&text)
	if report := mostReliableMembers(s.reports()); report != nil {
		writeAgents(&text, report)
	}
	_, err := io.WriteString(output, text.String())
	return err
}

// table writes rows with aligned columns into a strings.Builder, whose writes do not fail.
type table struct {
	writer *tabwriter.Writer
}

func newTable(text *strings.Builder) *table {
	return &table{writer: tabwriter.NewWriter(text, 0, 0, columnPadding, ' ', 0)}
}

// row writes one row; tabs separate its columns.
func (t *table) row(format string, values ...any) {
	_, _ = fmt.Fprintf(t.writer, format+"\n", values...)
}

// flush aligns the rows and writes them.
func (t *table) flush() { _ = t.writer.Flush() }

func (s *Survey) writeFindings(text *strings.Builder) {
	found := s.Findings()
	if len(found) == 0 {
		text.WriteString("nothing is wrong\n")
	}
	for _, finding := range found {
		fmt.Fprintf(text, "%s: %s\n", finding.Severity, finding.Text)
	}
}

func (s *Survey) writeView(text *strings.Builder) {
	view := newestView(s.reports())
	if view == nil {
		return
	}
	fmt.Fprintf(text, "\nview %d of cluster %s, %d voters\n", view.GetNumber(), view.GetCluster(), len(view.GetVoters()))
	hosts := make([]string, 0, len(view.GetChain()))
	for _, replica := range view.GetChain() {
		hosts = append(hosts, fmt.Sprintf("%s (%s)", replica.GetHost(), replica.GetZone()))
	}
	fmt.Fprintf(text, "chain, head first: %s\n", strings.Join(hosts, " -> "))
}

func (s *Survey) writeMachines(text *strings.Builder) {
	text.WriteString("\n")
	rows := newTable(text)
	rows.row("CONTROL\tZONE\tUP\tVIEW\tPART\tSEQUENCE\tGEN\tEVACUATED\tLIST\tAGE\tSERVERS\tPOLLS\tACKED\tREFUSED\t503")
	for _, machine := range s.Machines {
		if machine.Report == nil {
			rows.row("%s\t%s", machine.Host, "silent")
			continue
		}
		writeMachine(rows, machine.Report)
	}
	rows.flush()
}

// writeMachine writes the row of a control machine.
func writeMachine(rows *table, report *pb.ControlStatusReport) {
	catalog, polling, orders := report.GetCatalog(), report.GetDuty(), report.GetOrders()
	rows.row("%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d",
		report.GetSelf().GetHost(), report.GetSelf().GetZone(), duration(report.GetUptimeMs()),
		report.GetView().GetNumber(), machineState(report),
		catalog.GetSequence(), catalog.GetGeneration(), orDash(strings.Join(catalog.GetEvacuatedZones(), ",")),
		listVersion(polling.GetList()), listAge(polling),
		servers(polling), polls(polling),
		orders.GetAcknowledged(), orders.GetRefused(), orders.GetUnavailable())
}

// machineState describes a machine's role in its view, whether it is authoritative and whether it polls the server list.
func machineState(report *pb.ControlStatusReport) string {
	state := "outside"
	for _, voter := range report.GetView().GetVoters() {
		if voter.GetIdentity() == report.GetSelf().GetIdentity() {
			state = "voter"
		}
	}
	chain := report.GetView().GetChain()
	for index, replica := range chain {
		if replica.GetIdentity() != report.GetSelf().GetIdentity() {
			continue
		}
		switch index {
		case 0:
			state = "head"
		case len(chain) - 1:
			state = "tail"
		default:
			state = "middle"
		}
	}
	if !report.GetAuthoritative() {
		state += ", cut off or behind"
	}
	if report.GetDuty().GetHolder() {
		state += ", reads the list"
	}
	return state
}

// writeAgents writes the table of the agents in the report of one control machine.
func writeAgents(text *strings.Builder, report *pb.ControlStatusReport) {
	live := 0
	for _, agent := range report.GetAgents() {
		if !agent.GetLost() {
			live++
		}
	}
	fmt.Fprintf(text, "\nagents as %s knows them: %d live, %d lost\n",
		report.GetSelf().GetHost(), live, len(report.GetAgents())-live)
	if !report.GetMembersSettled() {
		text.WriteString("(it has just started: there may be more)\n")
	}
	rows := newTable(text)
	rows.row("AGENT\tZONE\tSTATE\tSEQUENCE\tBEHIND\tHEARD\tEDGE")
	for _, agent := range report.GetAgents() {
		record := agent.GetRecord()
		rows.row("%s\t%s\t%s\t%d\t%d\t%s ago\t%s",
			record.GetHost(), record.GetZone(), agentState(agent), record.GetSequence(),
			lag(report.GetCatalog().GetSequence(), record.GetSequence()),
			duration(uint64(record.GetAgeMs())), record.GetEdgeAddress())
	}
	rows.flush()
}

func agentState(agent *pb.AgentStatus) string {
	switch record := agent.GetRecord(); {
	case agent.GetLost():
		return "lost"
	case record.GetDraining():
		return "draining"
	case record.GetReady():
		return "ready"
	default:
		return "not ready"
	}
}

func lag(newest, reported uint64) uint64 {
	if reported >= newest {
		return 0
	}
	return newest - reported
}

func listVersion(version *pb.ListVersion) string {
	if version == nil {
		return "-"
	}
	return fmt.Sprintf("%d/%s/%d", version.GetEpoch(), version.GetHolder(), version.GetRevision())
}

func listAge(polling *pb.PollingRoleStatus) string {
	if polling.GetList() == nil {
		return "-"
	}
	return duration(polling.GetListAgeMs())
}

func servers(polling *pb.PollingRoleStatus) string {
	if polling.GetDraining() == 0 {
		return fmt.Sprint(polling.GetServers())
	}
	return fmt.Sprintf("%d, %d draining", polling.GetServers(), polling.GetDraining())
}

func polls(polling *pb.PollingRoleStatus) string {
	if polling.GetPollsFailed() == 0 {
		return fmt.Sprint(polling.GetPolls())
	}
	return fmt.Sprintf("%d, %d failed", polling.GetPolls(), polling.GetPollsFailed())
}

// duration formats a time, rounded to a tenth of a second, or to a second from a minute on.
func duration(milliseconds uint64) string {
	value := time.Duration(milliseconds) * time.Millisecond
	if value >= time.Minute {
		return value.Round(time.Second).String()
	}
	return value.Round(100 * time.Millisecond).String()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
