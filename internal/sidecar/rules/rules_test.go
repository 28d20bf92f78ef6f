package rules

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

const validFile = `version = 1
[sampling]
format = "2"
salt = 7
rate = 0.01
keep_failed = true
keep_slow_ms = 800
[[sampling.class]]
name = "order"
rate = 0.5
[[sampling.class]]
name = "look"
rate = 0.25
[[sampling.tenant]]
name = "novak"
rate = 1.0
[limits]
[[limits.quota]]
name = "orders"
class = "order"
per_second = 12.5
members = 4
floor_pct = 20
[[limits.quota]]
name = "novak"
tenant = "novak"
in_flight = 9
members = 4
policy = "available"
# end
`

func parse(t *testing.T, text string) Edition {
	t.Helper()
	e, faults := Parse([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return e
}

func read(t *testing.T, e Edition) *Compiled {
	t.Helper()
	c, err := Read(e, Supported())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestFile(t *testing.T) {
	e := parse(t, validFile)
	c := read(t, e)
	if r := c.Sampling.RateOf("order", ""); r != RateUnit/2 {
		t.Errorf("order has rate %d, want a half", r)
	}
	if r := c.Sampling.RateOf("order", "novak"); r != RateUnit {
		t.Errorf("rate %d: the tenant's rate must take precedence over the class's", r)
	}
	if q := c.Limits.Settings(); len(q) != 2 || q[0].PerSecond != 12.5 || q[1].InFlight != 9 {
		t.Errorf("limits %+v, want a rate of 12.5 and 9 in flight", q)
	}
	// The digest depends on the content, but not on its order in the file.
	swapped := strings.Replace(strings.Replace(validFile, `"order"`, `"X"`, 1), `"look"`, `"order"`, 1)
	swapped = strings.Replace(strings.Replace(swapped, `"X"`, `"look"`, 1), "0.5\n", "Y\n", 1)
	swapped = strings.Replace(strings.Replace(swapped, "0.25", "0.5", 1), "Y", "0.25", 1)
	if parse(t, swapped).Digest() != e.Digest() {
		t.Error("the digest depends on the order of the rules in the file")
	}
	if parse(t, strings.Replace(validFile, "0.25", "0.26", 1)).Digest() == e.Digest() {
		t.Error("different rules have the same digest")
	}
}

// TestFaults checks that every fault is reported with its line and column.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"no end":             {"# end\n", "", `29:1: the file may be incomplete: its last line must be "# end"`},
		"an unknown key":     {"salt = 7", "sallt = 7", "4:1: sampling.sallt: no such key"},
		"a wrong type":       {"salt = 7", `salt = "x"`, "4:"},
		"no TOML":            {"salt = 7", "salt = ", "4:"},
		"a rate over one":    {"rate = 0.25", "rate = 1.25", "13:1: sampling.class[1].rate: 1.25; allowed: 0 to 1"},
		"a name twice":       {`name = "look"`, `name = "order"`, `12:1: sampling.class[1].name: "order"`},
		"a later format":     {`format = "2"`, `format = "3"`, "2:1: sampling: format 3.0 is not supported by this program"},
		"no number":          {`format = "2"`, `format = "two"`, `3:1: sampling.format: format "two"`},
		"of a later format":  {`format = "2"`, `format = "1"`, "2:1: sampling: tenants, keep_failed and keep_slow_ms need format 2"},
		"a limit's fault":    {"floor_pct = 20", "floor_pct = 120", "23:1: limits.quota[0].floor_pct: 120"},
		"the second limit's": {`policy = "available"`, `policy = "lax"`, "29:1: limits.quota[1].policy: lax"},
		"another version":    {"version = 1", "version = 2", "1:1: version: version 2 is not supported; this program reads version 1"},
	} {
		text := strings.Replace(validFile, c.from, c.to, 1)
		_, faults := Parse([]byte(text))
		all := ""
		for _, f := range faults {
			all += f.String() + "\n"
		}
		if !strings.Contains(all, c.want) {
			t.Errorf("%s: %q, want %q", name, all, c.want)
		}
	}
	two := strings.Replace(strings.Replace(validFile, "rate = 0.01", "rate = 2.0", 1), "floor_pct = 20", "floor_pct = -1", 1)
	if _, faults := Parse([]byte(two)); len(faults) != 2 {
		t.Errorf("faults %v, want two", faults)
	}
}

func TestBounds(t *testing.T) {
	file := func(n int) []Fault {
		var b strings.Builder
		b.WriteString("version = 1\n[limits]\n")
		for i := range n {
			fmt.Fprintf(&b, "[[limits.quota]]\nname = \"q%058d\"\nin_flight = 5\nmembers = 4\n", i)
		}
		_, faults := Parse([]byte(b.String() + "# end\n"))
		return faults
	}
	if faults := file(800); len(faults) > 0 {
		t.Error(faults)
	}
	if faults := file(1200); !strings.Contains(fmt.Sprint(faults), "bytes of rules, 65536 at most") {
		t.Error(faults)
	}
	// An edition from another member is bounded too: one of the maximum size passes the size check, one more byte fails it.
	e := Edition{Rules: []Rule{{Kind: "x", Format: Format{1, 0}}}}
	e.Rules[0].Body = make([]byte, MaxBytes-len(encode(e.Rules))-2)
	if _, err := Read(e, Supported()); len(encode(e.Rules)) != MaxBytes || !strings.Contains(err.Error(), "kind not known") {
		t.Error(len(encode(e.Rules)), err)
	}
	e.Rules[0].Body = append(e.Rules[0].Body, 0)
	if _, err := Read(e, Supported()); !strings.Contains(err.Error(), "65537 bytes, 65536 at most") {
		t.Error(err)
	}
}

// TestReadErrors checks that a program names the kind, format and feature that it cannot read.
func TestReadErrors(t *testing.T) {
	e := parse(t, validFile)
	one := FormatSet{Sampling: {{1, 0}}, Limits: {{1, 0}}}
	later := e
	later.Rules = append([]Rule(nil), e.Rules...)
	later.Rules[1].Format = Format{2, 1}
	unknown := Edition{Rules: append([]Rule{{Kind: "affinity", Format: Format{1, 0}}}, e.Rules...)}
	var fields map[int]any
	if err := cbor.Unmarshal(e.Rules[1].Body, &fields); err != nil {
		t.Fatal(err)
	}
	fields[99] = 1
	key := Edition{Rules: []Rule{{Sampling, Format{2, 0}, encode(fields)}}}
	loose, _ := cbor.Marshal(map[int]any{7: 1, 1: 1, 4: 1, 5: 1, 6: 1, 2: 1}) // not in order
	for name, c := range map[string]struct {
		e     Edition
		reads FormatSet
		want  string
	}{
		"a later major":            {e, one, "rules sampling 2.0: format not read, only sampling 1.0"},
		"a later minor":            {later, Supported(), "rules sampling 2.1: format not read, only sampling 1.0,2.0"},
		"a kind that is not known": {unknown, Supported(), "rules affinity 1.0: kind not known"},
		"an unknown key":           {key, Supported(), "rules sampling 2.0: body cannot be decoded: cbor: found unknown field"},
		"another order of keys":    {Edition{Rules: []Rule{{Sampling, Format{2, 0}, loose}}}, Supported(), "body is not in its canonical form"},
		"a kind twice":             {Edition{Rules: []Rule{e.Rules[0], e.Rules[0]}}, Supported(), "kind occurs twice"},
		"cut in the middle":        {Edition{Rules: []Rule{{Sampling, Format{2, 0}, e.Rules[1].Body[:9]}}}, Supported(), "body cannot be decoded"},
		"a program before rules":   {e, FormatSet{}, "kind not known"},
	} {
		_, err := Read(c.e, c.reads)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
		var m *ReadError
		if err != nil && !errors.As(err, &m) {
			t.Errorf("%s: the error does not name the rule: %v", name, err)
		}
	}
}

func TestLower(t *testing.T) {
	e := parse(t, validFile)
	one := FormatSet{Sampling: {{1, 0}}, Limits: {{1, 0}}}
	_, lost := Downgrade(e, one)
	if got := strings.Join(lost, "; "); got != `the rate of tenant "novak"; failed traces kept after the fact; traces slower than 800 ms kept after the fact` {
		t.Error(got)
	}
	plain := validFile
	for _, cut := range []string{"keep_failed = true\n", "keep_slow_ms = 800\n", "[[sampling.tenant]]\nname = \"novak\"\nrate = 1.0\n"} {
		plain = strings.Replace(plain, cut, "", 1)
	}
	lower, lost := Downgrade(parse(t, plain), one)
	if len(lost) > 0 {
		t.Error(lost)
	}
	c, err := Read(lower, one)
	if err != nil || c.Sampling.RateOf("order", "") != RateUnit/2 {
		t.Error(c, err)
	}
}

func TestReads(t *testing.T) {
	text := Supported().String()
	if text != "limits 1.0;sampling 1.0,2.0" {
		t.Error(text)
	}
	r, err := ParseFormatSet(text)
	if err != nil || r.String() != text || !r.Has(Sampling, Format{1, 0}) || r.Has(Sampling, Format{2, 1}) || r.Has("x", Format{1, 0}) {
		t.Error(r, err)
	}
	for _, bad := range []string{"limits", "limits 0", "limits 1.x", " 1", strings.Repeat("x", MaxFormatSetBytes+1)} {
		if _, err := ParseFormatSet(bad); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

// misreadings are decision functions of faulty programs, which accept an edition and interpret it differently.
var misreadings = map[string]func(c *Compiled, q Case) string{
	"the class before the tenant": func(c *Compiled, q Case) string {
		if r := c.Sampling.RateOf(q.Class, ""); r != c.Sampling.Rate {
			q.Tenant = ""
		}
		return c.Decide(q)
	},
	"rates of a class not known":      func(c *Compiled, q Case) string { q.Class = ""; return c.Decide(q) },
	"tenants not known":               func(c *Compiled, q Case) string { q.Tenant = ""; return c.Decide(q) },
	"slow from the bound on":          func(c *Compiled, q Case) string { q.Latency++; return c.Decide(q) },
	"slow in another unit":            func(c *Compiled, q Case) string { q.Latency /= 1000; return c.Decide(q) },
	"failed not kept":                 func(c *Compiled, q Case) string { q.Failed = false; return c.Decide(q) },
	"ids in capitals":                 func(c *Compiled, q Case) string { q.ID = strings.ToUpper(q.ID); return c.Decide(q) },
	"ids cut":                         func(c *Compiled, q Case) string { q.ID = q.ID[:15]; return c.Decide(q) },
	"another salt":                    withChangedRules(func(c *Compiled) { c.Sampling.Salt++ }),
	"rates rounded to percents":       withChangedRules(func(c *Compiled) { c.Sampling.Rate = c.Sampling.Rate * 100 / RateUnit * RateUnit / 100 }),
	"limits rounded to whole numbers": withChangedRules(func(c *Compiled) { c.Limits.Quotas[0].PerSecond = 12000 }),
	"a policy that is the other":      withChangedRules(func(c *Compiled) { c.Limits.Quotas[1].Policy = "strict" }),
	"a limit left out":                withChangedRules(func(c *Compiled) { c.Limits.Quotas = c.Limits.Quotas[:1] }),
}

// withChangedRules returns a decision function that uses changed rules instead of those of the edition.
func withChangedRules(change func(*Compiled)) func(*Compiled, Case) string {
	return func(c *Compiled, q Case) string {
		other := &Compiled{Edition: c.Edition}
		s, l := *c.Sampling, *c.Limits
		l.Quotas = append([]Quota(nil), l.Quotas...)
		other.Sampling, other.Limits = &s, &l
		change(other)
		return other.Decide(q)
	}
}

// TestTrialsCatchMisreadings checks that each misreading changes the trial, whatever the numbers of the edition are.
func TestTrialsCatchMisreadings(t *testing.T) {
	caught, runs := 0, 0
	for salt := range 50 {
		c := read(t, parse(t, strings.Replace(validFile, "salt = 7", fmt.Sprintf("salt = %d", salt+1), 1)))
		own := RunTrial(c)
		if FirstDifference(own, RunTrial(read(t, c.Edition))) >= 0 {
			t.Fatal("the same program decides differently the second time")
		}
		for name, decide := range misreadings {
			runs++
			if at := FirstDifference(own, RunTrialWith(c, func(q Case) string { return decide(c, q) })); at > 0 {
				caught++
			} else {
				t.Errorf("salt %d: misreading %q does not change the trial", salt, name)
			}
		}
	}
	t.Logf("%d of %d misreadings caught", caught, runs)
}

// TestReadAcceptsArbitraryBytes checks that Read returns rules or an error, and does not panic, whatever the bytes of an
// edition are.
func TestReadAcceptsArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Edition{Number: 1}
		for range rapid.IntRange(0, 3).Draw(t, "rules") {
			e.Rules = append(e.Rules, Rule{Kind: rapid.SampledFrom([]Kind{Sampling, Limits, "x"}).Draw(t, "kind"),
				Format: Format{rapid.Uint8Range(0, 3).Draw(t, "major"), rapid.Uint8Range(0, 2).Draw(t, "minor")}, Body: rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body")})
		}
		if c, err := Read(e, Supported()); err == nil {
			RunTrial(c)
		}
	})
}

func TestCapturesAreNested(t *testing.T) {
	n := 0
	for i := range 100_000 {
		h := TraceHash(3, fmt.Sprint(i))
		low, high := Captures(h, Rate(0.05)), Captures(h, Rate(0.2))
		if low && !high {
			t.Fatal("captured at a low rate, but not at a higher one")
		}
		if low {
			n++
		}
	}
	if n < 4700 || n > 5300 {
		t.Errorf("%d of 100,000 captured at rate 0.05, want 4,700 to 5,300", n)
	}
	if Captures(^uint64(0), Rate(1)) == false || Captures(0, 0) {
		t.Error("rate 1 must capture everything, rate 0 nothing")
	}
}
