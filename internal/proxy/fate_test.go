package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/proxy/upstream"
)

func TestFateOfError(t *testing.T) {
	require.Equal(t, fateNotSent, fateOfError(&upstream.DialError{Err: io.EOF}))
	require.Equal(t, fateNotSent, fateOfError(&upstream.SendError{Err: io.EOF}))
	require.Equal(t, fateUnknown, fateOfError(&upstream.SendError{Written: 1, Err: io.EOF}))
	require.Equal(t, fateUnknown, fateOfError(&upstream.ResponseError{Fault: upstream.FaultMismatched}))
	require.Equal(t, fateUnknown, fateOfError(io.EOF))
}

func TestFateOfAnswer(t *testing.T) {
	sealed := http.Header{headerServerSeal: {"s"}}
	declined := http.Header{headerNotExecuted: {"1"}}
	cases := []struct {
		status int
		header http.Header
		want   fate
	}{
		{200, sealed, fateRan},
		{200, nil, fateUnknown},
		{204, nil, fateUnknown},
		{404, nil, fateRan},
		{500, nil, fateRan},
		{504, nil, fateRan},
		{503, nil, fateUnknown},
		{429, nil, fateUnknown},
		{408, nil, fateUnknown},
		{421, nil, fatePromised},
		{503, declined, fatePromised},
		{429, declined, fatePromised},
		{400, declined, fatePromised},
		{504, declined, fatePromised},
	}
	for _, test := range cases {
		require.Equal(t, test.want, fateOfAnswer(test.status, test.header), "%d %v", test.status, test.header)
	}
}

func TestLedgerTable(t *testing.T) {
	cases := map[string]struct {
		repeatable bool
		tries      int
		fates      []fate
		left       time.Duration
		repeat     bool
		status     int
	}{
		"nothing yet":               {false, 2, nil, time.Second, true, 503},
		"dial failed":               {false, 1, []fate{fateNotSent}, time.Second, true, 503},
		"dials failed too often":    {false, 1, []fate{0, 0, 0, 0}, time.Second, false, 503},
		"promised":                  {false, 2, []fate{fatePromised}, time.Second, true, 503},
		"promised, no tries left":   {false, 1, []fate{fatePromised}, time.Second, false, 503},
		"promised, no time left":    {false, 2, []fate{fatePromised}, 0, false, 503},
		"unknown":                   {false, 2, []fate{fateUnknown}, time.Second, false, 502},
		"unknown at the deadline":   {false, 2, []fate{fateUnknown}, 0, false, 504},
		"unknown, then never again": {false, 9, []fate{fateUnknown, fatePromised}, time.Second, false, 502},
		"ran":                       {false, 2, []fate{fateRan}, time.Second, false, 502},
		"repeatable unknown":        {true, 2, []fate{fateUnknown}, time.Second, true, 502},
		"repeatable ran":            {true, 3, []fate{fateRan, fateUnknown}, time.Second, true, 502},
		"repeatable, no tries left": {true, 2, []fate{fateUnknown, fateUnknown}, time.Second, false, 502},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			l := ledger{repeatable: test.repeatable, tries: test.tries}
			for _, f := range test.fates {
				l.record(f)
			}
			require.Equal(t, test.repeat, l.mayRepeat(test.left))
			require.Equal(t, test.status, l.ending(test.left))
		})
	}
}

// A request that may not repeat is never sent again once it may have run, never gets a promise then, and
// never goes to more servers than allowed.
func TestLedgerNeverBreaksAPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger{repeatable: rapid.Bool().Draw(t, "repeatable"), tries: rapid.IntRange(1, 4).Draw(t, "tries")}
		mayHaveRun, sent, attempts := false, 0, 0
		for l.mayRepeat(time.Second) {
			attempts++
			if mayHaveRun && !l.repeatable {
				t.Fatal("sent again although it may have run")
			}
			f := fate(rapid.IntRange(int(fateNotSent), int(fateRan)).Draw(t, "fate"))
			l.record(f)
			if f != fateNotSent {
				sent++
			}
			mayHaveRun = mayHaveRun || f == fateUnknown || f == fateRan
		}
		require.LessOrEqual(t, sent, l.tries)
		require.LessOrEqual(t, attempts, l.tries+maxUnsent)
		left := time.Duration(rapid.IntRange(-1, 1).Draw(t, "left")) * time.Second
		require.Equal(t, !mayHaveRun, isPromise(l.ending(left)))
	})
}
