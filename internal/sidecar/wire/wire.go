// Package wire parses and prints the lines of the simulator's protocol. It makes no decisions.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/logic"
)

// Line is one line of the protocol: a tag and name=value fields.
type Line struct {
	Tag    string
	fields []field
}

type field struct{ name, value string }

// extendsToEnd reports whether the value of a field extends to the end of the line, spaces included.
func extendsToEnd(name string) bool { return name == "settings" || name == "note_text" }

// ParseLine parses a line into line, whose buffer of fields is reused.
func ParseLine(text string, line *Line) error {
	line.fields = line.fields[:0]
	tag, rest, _ := strings.Cut(text, " ")
	if tag == "" {
		return errors.New("line has no tag")
	}
	line.Tag = tag
	for rest != "" {
		name, value, ok := strings.Cut(rest, "=")
		if !ok || name == "" {
			return fmt.Errorf("%s: part %q is not name=value", tag, rest)
		}
		if extendsToEnd(name) {
			rest = ""
		} else {
			value, rest, _ = strings.Cut(value, " ")
		}
		line.fields = append(line.fields, field{name, value})
	}
	return nil
}

// Text returns the value of a field and whether the line has the field.
func (l *Line) Text(name string) (string, bool) {
	for _, p := range l.fields {
		if p.name == name {
			return p.value, true
		}
	}
	return "", false
}

// Int returns the value of a field that is a whole number. An absent field is 0, or an error if it is required.
func (l *Line) Int(name string, required bool) (uint64, error) {
	text, ok := l.Text(name)
	if !ok {
		if required {
			return 0, fmt.Errorf("%s: no %s", l.Tag, name)
		}
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %s=%q is not a whole number", l.Tag, name, text)
	}
	return n, nil
}

// Time returns the value of a field in milliseconds as a duration. An absent field is 0, or an error if it is required.
func (l *Line) Time(name string, required bool) (time.Duration, error) {
	text, ok := l.Text(name)
	if !ok {
		if required {
			return 0, fmt.Errorf("%s: no %s", l.Tag, name)
		}
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(ms) || math.Abs(ms) > 1e12 {
		return 0, fmt.Errorf("%s: %s=%q is not a time", l.Tag, name, text)
	}
	return config.Millis(ms).Duration(), nil
}

var outcomes = map[string]logic.Outcome{
	"done": logic.Done, "err": logic.Errored, "busy": logic.Busy, "etimedout": logic.TimedOut,
	"econnrefused": logic.Refused, "econnreset": logic.Reset, "ecanceled": logic.Canceled,
	"skipped": logic.Skipped,
}

var states = map[string]logic.State{"live": logic.Ready, "quiescing": logic.Draining, "dead": logic.Gone}

// Entry decodes an ENTRY line.
func (l *Line) Entry() (logic.Server, error) {
	var s logic.Server
	if l.Tag != "ENTRY" {
		return s, fmt.Errorf("%s where an ENTRY was due", l.Tag)
	}
	var errs [3]error
	var cell uint64
	s.ID, errs[0] = l.Int("server", true)
	cell, errs[1] = l.Int("stripe", false)
	s.Since, errs[2] = l.Time("since_ms", false)
	s.Cell = int(cell)
	s.Zone, _ = l.Text("area")
	text, _ := l.Text("state")
	state, ok := states[text]
	if !ok {
		return s, fmt.Errorf("ENTRY: state=%q is unknown", text)
	}
	s.State = state
	return s, errors.Join(errs[:]...)
}

// Event decodes an event for the balancer. It returns false for a line that
// carries none: one whose tag is unknown or not used here, or a REMINDER
// whose token is not one of this library.
func (l *Line) Event(ev *logic.Event) (bool, error) {
	var errs [4]error
	*ev = logic.Event{}
	switch l.Tag {
	case "SUBMIT":
		return true, l.submit(ev)
	case "HEADERS", "RESOLVED":
		ev.Kind = logic.EvStarted
		ev.Request, errs[0] = l.Int("ref", true)
		n, err := l.Int("send_no", true)
		ev.Attempt, errs[1] = int(min(n, math.MaxInt32)), err
		ev.Latency, errs[2] = l.Time("lag_ms", false)
		if l.Tag == "RESOLVED" {
			ev.Kind = logic.EvOutcome
			text, _ := l.Text("disposition")
			out, ok := outcomes[text]
			if !ok {
				errs[3] = fmt.Errorf("RESOLVED: disposition=%q is unknown", text)
			}
			final, _ := l.Text("final")
			ev.Outcome, ev.Final = out, final == "1"
		}
	case "WITHDRAWN":
		ev.Kind = logic.EvClientGone
		ev.Request, errs[0] = l.Int("ref", true)
	case "REMINDER":
		ev.Kind = logic.EvWake
		token, _ := l.Text("token")
		kind, ref, _ := strings.Cut(token, ".")
		k, err1 := strconv.ParseUint(kind, 10, 8)
		id, err2 := strconv.ParseUint(ref, 10, 64)
		if err1 != nil || err2 != nil { // the token was not written by WriteAction: it belongs to no timer
			return false, nil
		}
		ev.Timer = logic.Timer{Kind: logic.TimerKind(k), ID: id}
	default:
		return false, nil
	}
	return true, errors.Join(errs[:]...)
}

func (l *Line) submit(ev *logic.Event) error {
	var errs [5]error
	var bits uint64
	ev.Kind = logic.EvRequest
	ev.Request, errs[0] = l.Int("ref", true)
	ev.Class, _ = l.Text("cls")
	ev.Tenant, _ = l.Text("team")
	bits, errs[1] = l.Int("bitmap", false)
	ev.Key, errs[2] = l.Int("object", false)
	_, ev.HasKey = l.Text("object")
	ev.Expires, errs[3] = l.Time("expires_ms", true)
	ev.Retry = bits&2 != 0
	if bits&1 != 0 {
		ev.ExpectedWork, errs[4] = l.Time("weight_hint_ms", false)
	}
	return errors.Join(errs[:]...)
}

// Settings decodes the settings of an instance. Unknown keys are ignored.
func Settings(text string) (logic.Config, error) {
	s, err := config.ParseSettings([]byte(text))
	if err != nil {
		return logic.Config{}, err
	}
	return s.Logic()
}

// WriteAction appends the line for one action of an instance to out.
func WriteAction(out *bytes.Buffer, inst uint64, a *logic.Action) {
	switch a.Kind {
	case logic.ActSend:
		writeLine(out, "PLACE", inst, "ref", a.Request, "server", a.Server)
		writeDuration(out, "timeout_ms", a.After)
	case logic.ActCancel:
		writeLine(out, "CALL_OFF", inst, "ref", a.Request, "send_no", uint64(a.Attempt))
	case logic.ActReject:
		writeLine(out, "SHED", inst, "ref", a.Request)
		writeDuration(out, "not_before_for_ms", a.After)
	case logic.ActFail:
		writeLine(out, "FAIL", inst, "ref", a.Request)
	case logic.ActWake:
		writeLine(out, "WAKE_ME", inst)
		writeDuration(out, "when_ms", a.At)
		fmt.Fprintf(out, " token=%d.%d", a.Timer.Kind, a.Timer.ID)
	case logic.ActWatch:
		writeLine(out, "WATCH", inst, "want", uint64(1))
	case logic.ActCloseIdle:
		writeLine(out, "RELEASE", inst, "server", a.Server)
	case logic.ActLog:
		WriteText(out, "DEBUG", inst, a.Text)
		return
	}
	out.WriteByte('\n')
}

// WriteText appends a line with a text, such as a log line or a fault, to out. White space in the text becomes single
// spaces.
func WriteText(out *bytes.Buffer, tag string, inst uint64, text string) {
	writeLine(out, tag, inst)
	out.WriteString(" note_text=")
	out.WriteString(strings.Join(strings.Fields(text), " "))
	out.WriteByte('\n')
}

func writeLine(out *bytes.Buffer, tag string, inst uint64, fields ...any) {
	out.WriteString(tag)
	writeUint(out, "i", inst)
	for k := 0; k+1 < len(fields); k += 2 {
		writeUint(out, fields[k].(string), fields[k+1].(uint64))
	}
}

func writeUint(out *bytes.Buffer, name string, v uint64) {
	out.WriteByte(' ')
	out.WriteString(name)
	out.WriteByte('=')
	out.Write(strconv.AppendUint(out.AvailableBuffer(), v, 10))
}

func writeDuration(out *bytes.Buffer, name string, d time.Duration) {
	out.WriteByte(' ')
	out.WriteString(name)
	out.WriteByte('=')
	out.Write(strconv.AppendFloat(out.AvailableBuffer(), float64(d)/float64(time.Millisecond), 'f', 3, 64))
}
