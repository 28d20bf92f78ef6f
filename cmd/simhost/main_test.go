package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

const setupBatch = `MARK t_ms=1000.0
PAGE slot=3 rows_in=2
ENTRY server=7 area=a generation_hw=k stripe=0 state=live heft=1 novelty=x
ENTRY server=8 area=b generation_hw=k stripe=1 state=quiescing heft=1.5 since_ms=900.0
PROVISION i=2 random_seed=5 settings={"locality":"a","tick_ms":5,"discovery":"subscribe","new_key":[1],` +
	`"classes":[{"name":"c x","effect":"guarded","group":"all","aim_ms":100,"deadline_ms":500,"window_ms":200}],` +
	`"contract":{"ask_every_ms":10000},"limits":{"send_cap":3,"may_cancel":true,"parallel_tries":true}}
MEMBERS i=2 form=Persisted epoch=4 slot=3
END
`

func runHost(input string) (string, error) {
	h := &host{instances: map[uint64]*logic.Balancer{}, pages: map[uint64][]logic.Server{}}
	var out bytes.Buffer
	err := h.run(strings.NewReader(input), &out)
	return out.String(), err
}

func TestConversation(t *testing.T) {
	out, err := runHost(setupBatch + `MARK t_ms=1005.0
SUBMIT i=2 ref=99 cls=cx bitmap=0 object=4 expires_ms=1405.0
NOVELTY i=2 what=ever
REMINDER i=2 token=foreign
REMINDER i=2 token=3.0
END
MARK t_ms=1035.0
RESOLVED i=2 ref=99 lag_ms=30.0 server=7 final=1 disposition=done send_no=0 pressure=active:3,err_rps:0.5
WITHDRAWN i=2 ref=99
END
`)
	if err != nil {
		t.Fatal(err)
	}
	// The settings do not define the class cx: the request fails at once, and no other action follows for it.
	if !strings.Contains(out, "WATCH i=2 want=1") || !strings.Contains(out, "FAIL i=2 ref=99") ||
		strings.Count(out, "NEXT\n") != 3 {
		t.Errorf("reply:\n%s", out)
	}
	out, err = runHost(strings.Replace(setupBatch, `"c x"`, `"c"`, 1) +
		"MARK t_ms=1005.0\nSUBMIT i=2 ref=99 cls=c bitmap=0 object=4 expires_ms=1405.0\nEND\n")
	if err != nil || !strings.Contains(out, "PLACE i=2 ref=99 server=7 timeout_ms=400.000\n") {
		t.Errorf("error %v, reply:\n%s", err, out)
	}
}

func TestMalformedInputNamesItsLine(t *testing.T) {
	for input, want := range map[string]string{
		"END\n":                              "line 1: END where a MARK was due",
		"MARK t_ms=x\n":                      `line 1: MARK: t_ms="x" is not a time`,
		"MARK t_ms=1\nSUBMIT i=1 ref\nEND\n": `line 2: SUBMIT: part "ref" is not name=value`,
		"MARK t_ms=1\nSUBMIT i=1 ref=-4 cls=c\nEND\n": `line 2: SUBMIT: ref="-4" is not a whole number`,
		"MARK t_ms=1\n":   "line 1: input ends within a batch",
		"MARK t_ms=1\nEN": "line 1: input ends within a line",
		"MARK t_ms=1\nMEMBERS i=1 form=Partial slot=2\nEND\n":                             "line 2: MEMBERS: no PAGE received for slot=2",
		"MARK t_ms=1\nPAGE slot=0 rows_in=1\nEND\n":                                       "line 3: END where an ENTRY was due",
		"MARK t_ms=1\nPAGE slot=0 rows_in=1\nENTRY server=1 state=odd\nEND\n":             `line 3: ENTRY: state="odd" is unknown`,
		"MARK t_ms=1\nPROVISION i=1 random_seed=1 settings={\nEND\n":                      "line 2: PROVISION: settings: ",
		"MARK t_ms=1\nRESOLVED i=1 ref=1 send_no=0 disposition=odd final=0 lag_ms=1\nEND": `line 2: RESOLVED: disposition="odd" is unknown`,
	} {
		if _, err := runHost(input); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want %s", input, err, want)
		}
	}
}

func TestUnusableSettingsAndPanicsAreFaults(t *testing.T) {
	out, err := runHost("MARK t_ms=1\nPROVISION i=4 random_seed=1 settings={}\nEND\n")
	if err != nil || !strings.Contains(out, "BROKEN i=4 note_text=logic: settings name no class") {
		t.Errorf("error %v, reply %s", err, out)
	}
	h := &host{instances: map[uint64]*logic.Balancer{}}
	h.step(9, &logic.Balancer{}, time.Second, &logic.Event{Kind: logic.EvServerList, Servers: []logic.Server{{ID: 1}}})
	if !strings.Contains(h.reply.String(), "BROKEN i=9 note_text=panic: ") {
		t.Errorf("reply %s", h.reply.String())
	}
}

func TestDestroyedInstanceIsForgotten(t *testing.T) {
	out, err := runHost(setupBatch + "MARK t_ms=1005.0\nDESTROY i=2\nSUBMIT i=2 ref=9 cls=c expires_ms=1400.0\nEND\n")
	if err != nil || !strings.HasSuffix(out, "NEXT\nNEXT\n") {
		t.Errorf("error %v, reply:\n%s", err, out)
	}
}

// The reminder of an idle connection carries the server in its token; its return closes the connection.
func TestIdleConnectionIsReleased(t *testing.T) {
	out, err := runHost(strings.Replace(strings.Replace(setupBatch, `"c x"`, `"c"`, 1), `"tick_ms"`,
		`"balancers":9,"prices":{"connection":0.08,"handshake":0.08},"tick_ms"`, 1) +
		"MARK t_ms=1005.0\nSUBMIT i=2 ref=99 cls=c bitmap=0 object=4 expires_ms=1405.0\nEND\n" +
		"MARK t_ms=1035.0\nRESOLVED i=2 ref=99 lag_ms=30.0 server=7 final=1 disposition=done send_no=0\nEND\n" +
		"MARK t_ms=99000.0\nREMINDER i=2 token=4.7\nEND\n")
	if err != nil || !strings.Contains(out, " token=4.7\n") || !strings.Contains(out, "RELEASE i=2 server=7\n") {
		t.Errorf("error %v, reply:\n%s", err, out)
	}
}
