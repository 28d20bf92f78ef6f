package endpoints

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"fieldrelay/internal/sidecar/logic"
)

const entry = `{"instanceId":"a","hostPort":"h:1","zone":"z","cell":3,"lifecycle":"Ready","startedAtMs":0,"weight":1.5}`

func TestDecoder(t *testing.T) {
	a := Instance{ID: "a", Addr: "h:1", Zone: "z", Cell: 3}
	for name, c := range map[string]struct {
		text string
		want []List
		err  string
	}{
		"object after object": {`{"generation":1,"reset":true,"instances":[` + entry + "]}\n\n\n" + `{"generation":2,"instances":[]}`,
			[]List{{Generation: 1, Reset: true, Instances: []Instance{a}}, {Generation: 2}}, "EOF"},
		"keys in any order, and unknown ones": {`{"instances":[` + entry + `],"x":{"y":[1,{}]},"reset":false,"generation":7}`,
			[]List{{Generation: 7, Instances: []Instance{a}}}, "EOF"},
		"indented": {"{\n  \"generation\": 1,\n  \"instances\": [\n    " + strings.ReplaceAll(entry, ",", ",\n      ") + "\n  ]\n}\n",
			[]List{{Generation: 1, Instances: []Instance{a}}}, "EOF"},
		"no instances":         {`{"generation":1,"instances":null}`, []List{{Generation: 1}}, "EOF"},
		"no generation":        {`{"instances":[]}`, nil, "generation: missing"},
		"an odd generation":    {`{"generation":-1}`, nil, "generation: "},
		"no object":            {`[]`, nil, "[ is not an object"},
		"no list":              {`{"generation":1,"instances":{}}`, nil, "instances: { is not a list"},
		"an odd entry":         {`{"generation":1,"instances":[` + entry + `,{"cell":"x"}]}`, nil, "instances[1]: "},
		"an odd state":         {`{"generation":1,"instances":[` + strings.Replace(entry, "Ready", "Odd", 1) + `]}`, nil, `instances[0].lifecycle: "Odd"`},
		"cut short":            {`{"generation":1,"instances":[` + entry, nil, "unexpected EOF"},
		"too long":             {`{"generation":1,"x":"` + strings.Repeat("y", 600) + `"}`, nil, "x: object too long"},
		"white space for long": {strings.Repeat("\n", 2000) + `{"generation":1}`, []List{{Generation: 1}}, "EOF"},
	} {
		for how, r := range map[string]io.Reader{"at once": strings.NewReader(c.text), "byte by byte": iotest.OneByteReader(strings.NewReader(c.text))} {
			d := NewDecoder(r, 512)
			var got []List
			var err error
			for {
				var l List
				if l, err = d.Next(); err != nil {
					break
				}
				got = append(got, l)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("%s, %s:\n%s", name, how, diff)
			}
			if !strings.HasPrefix(err.Error(), c.err) || (c.err == "EOF") != errors.Is(err, io.EOF) {
				t.Errorf("%s, %s: error %q, want %q", name, how, err, c.err)
			}
		}
	}
}

func TestParseTakesOneObject(t *testing.T) {
	l, err := Parse([]byte(`{"generation":3,"instances":[` + strings.Replace(entry, "Ready", "Terminating", 1) + "]}\n"))
	if err != nil || l.Generation != 3 || l.Instances[0].State != logic.Draining {
		t.Errorf("%+v, %v", l, err)
	}
	for _, text := range []string{"", `{"generation":3`, `{"generation":3}{}`} {
		if _, err := Parse([]byte(text)); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Decoding a list of thousands of entries makes no second copy of it: it allocates little more than the size of the result.
func BenchmarkDecode5000(b *testing.B) {
	entries := make([]string, 5000)
	for i := range entries {
		entries[i] = strings.Replace(entry, `"a"`, fmt.Sprintf(`"s-%d"`, i), 1)
	}
	text := `{"generation":1,"instances":[` + strings.Join(entries, ",") + `]}`
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewDecoder(strings.NewReader(text), 1<<20).Next(); err != nil {
			b.Fatal(err)
		}
	}
}
