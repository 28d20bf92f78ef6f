package tomlfile_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/tomlfile"
)

type part struct {
	Name  string   `toml:"name"`
	Count int      `toml:"count"`
	Tags  []string `toml:"tags"`
}

type group struct {
	Title string `toml:"title"`
	Parts []part `toml:"part"`
}

type document struct {
	Name   string  `toml:"name"`
	Limit  float64 `toml:"limit"`
	Table  part    `toml:"table"`
	Groups []group `toml:"group"`
}

const defaultLimit = 2.5

// newFormat returns a format whose validation reports faults of the given keys, in this order, for every file.
func newFormat(faulty ...string) *tomlfile.Format[document] {
	return &tomlfile.Format[document]{
		Name: "document",
		New:  func() *document { return &document{Limit: defaultLimit} },
		Validate: func(*document) []*tomlfile.FaultError {
			var faults []*tomlfile.FaultError
			for _, key := range faulty {
				faults = append(faults, &tomlfile.FaultError{Key: key, Reason: "is invalid"})
			}
			return faults
		},
		DenyUnknown:    true,
		NumberElements: true,
	}
}

// location is the key and the line of a fault.
type location struct {
	key  string
	line int
}

func requireFaults(t *testing.T, err error, want ...location) {
	t.Helper()
	var all *tomlfile.FaultsError
	require.ErrorAs(t, err, &all)
	got := make([]location, len(all.Faults))
	for index, fault := range all.Faults {
		got[index] = location{fault.Key, fault.Line}
		require.NotEmpty(t, fault.Reason)
	}
	require.Equal(t, want, got, "%v", err)
}

const valid = `name = "n"
[table]
count = 3
[[group]]
title = "first"
[[group.part]]
name = "a"
[[group.part]]
name = "b"
[[group]]
title = "second"
[[group.part]]
name = "c"
tags = [
  "x",
  "y",
]
`

func TestAValidFileKeepsTheDefaults(t *testing.T) {
	read, err := newFormat().Parse([]byte(valid))
	require.NoError(t, err)
	require.Equal(t, &document{
		Name:  "n",
		Limit: defaultLimit,
		Table: part{Count: 3},
		Groups: []group{
			{Title: "first", Parts: []part{{Name: "a"}, {Name: "b"}}},
			{Title: "second", Parts: []part{{Name: "c", Tags: []string{"x", "y"}}}},
		},
	}, read)
}

func TestAnEmptyFile(t *testing.T) {
	for _, content := range []string{"", "\n", "# a remark\n"} {
		read, err := newFormat().Parse([]byte(content))
		require.NoError(t, err)
		require.Equal(t, &document{Limit: defaultLimit}, read)

		_, err = newFormat("name").Parse([]byte(content))
		requireFaults(t, err, location{"name", 0})
	}
}

func TestFaultsOfTheValidationGetTheirLines(t *testing.T) {
	_, err := newFormat("group[1].part[0].tags[1]", "group[0].part[1].name", "group[0].part[0].count", "table.count",
		"table.name", "limit", "group[1].title").Parse([]byte(valid))
	requireFaults(t, err,
		location{"limit", 0},
		location{"table.name", 2}, // the key is not in the file, so the line is that of its table
		location{"table.count", 3},
		location{"group[0].part[0].count", 6},
		location{"group[0].part[1].name", 9},
		location{"group[1].title", 11},
		location{"group[1].part[0].tags[1]", 14},
	)
}

func TestATableBelowAnElement(t *testing.T) {
	type element struct {
		Table part `toml:"table"`
	}
	type list struct {
		Elements []element `toml:"element"`
	}
	format := &tomlfile.Format[list]{
		Name:           "list",
		New:            func() *list { return &list{} },
		Validate:       func(*list) []*tomlfile.FaultError { return nil },
		NumberElements: true,
	}
	_, err := format.Parse([]byte("[[element]]\n[element.table]\ncount = 1\n[[element]]\n[element.table]\ncount = \"x\"\n"))
	requireFaults(t, err, location{"element[1].table.count", 6})
}

func TestEveryValueOfAWrongTypeIsFound(t *testing.T) {
	content := `name = 1
limit = "high"
[table]
count = true
tags = [
  "x",
  2,
]
[[group]]
title = "first"
[[group.part]]
count = "many"
name = "a"
[[group.part]]
name = false
`
	_, err := newFormat("name", "table.tags[1]", "group[0].part[0].count", "group[0].part[0].name").Parse([]byte(content))
	requireFaults(t, err,
		location{"name", 1}, // the only fault of this key: a value that was blanked out is not validated
		location{"limit", 2},
		location{"table.count", 4},
		location{"table.tags", 7},
		location{"group[0].part[0].count", 12},
		location{"group[0].part[0].name", 13},
		location{"group[0].part[1].name", 15},
	)
}

func TestATableInPlaceOfAValue(t *testing.T) {
	_, err := newFormat().Parse([]byte("table = 5\ngroup = \"x\"\n[name]\n"))
	requireFaults(t, err, location{"table", 1}, location{"group", 2}, location{"name", 3})
}

func TestASyntaxErrorNamesItsLine(t *testing.T) {
	cases := map[string]struct {
		content string
		line    int
	}{
		"no value":          {"name = \"n\"\nlimit =\n", 2},
		"heading open":      {"name = 5\n\n[table\ncount = 1\n", 3},
		"text open":         {"name = \"n\nlimit = 1\n", 1},
		"list open":         {"name = \"n\"\n[table]\ntags = [\n\"x\",\n", 4},
		"no key":            {"# a remark\n= 5\n", 2},
		"two on a line":     {"name = \"n\" limit = 1\n", 1},
		"not UTF-8":         {"name = \"n\"\nlimit = 1\n[table]\nname = \"\xff\"\n", 4},
		"not TOML at all":   {"{\"name\": \"n\"}\n", 1},
		"escape not known":  {"\nname = \"\\q\"\n", 2},
		"number cut short":  {"name = \"n\"\nlimit = 1.\n", 2},
		"carriage return":   {"name = \"n\"\n\rlimit = 1\n", 2},
		"control character": {"name = \"n\"\nlimit = 1 # \x01\n", 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := newFormat("name").Parse([]byte(test.content))
			requireFaults(t, err, location{"", test.line})
		})
	}
}

func TestADuplicateKey(t *testing.T) {
	_, err := newFormat().Parse([]byte("name = \"n\"\nlimit = 1\nname = \"m\"\n"))
	requireFaults(t, err, location{"name", 3})
}

const withUnknownKeys = `name = 5
nmae = "n"
[table]
count = 1
counts = 2
[[group]]
[[group.part]]
size = 1
[other]
x = 1
`

func TestUnknownKeysAreFaults(t *testing.T) {
	_, err := newFormat("table.count").Parse([]byte(withUnknownKeys))
	requireFaults(t, err,
		location{"name", 1},
		location{"nmae", 2},
		location{"table.count", 4},
		location{"table.counts", 5},
		location{"group[0].part[0].size", 8},
		location{"other", 9},
	)
	var all *tomlfile.FaultsError
	require.ErrorAs(t, err, &all)
	require.Equal(t, "line 2: nmae: is not known", all.Faults[1].Error())
}

func TestUnknownKeysAreIgnored(t *testing.T) {
	format := newFormat("table.count")
	format.DenyUnknown = false
	_, err := format.Parse([]byte(withUnknownKeys))
	requireFaults(t, err, location{"name", 1}, location{"table.count", 4})
}

func TestElementsWithoutNumbers(t *testing.T) {
	format := newFormat("name")
	format.NumberElements = false
	_, err := format.Parse([]byte("[[name]]\n[[group]]\n[[group.part]]\ncount = \"x\"\n"))
	requireFaults(t, err, location{"name", 1}, location{"group.part.count", 4})
}

func TestTexts(t *testing.T) {
	err := tomlfile.Join("document", []*tomlfile.FaultError{
		{Key: "b", Line: 2, Reason: "is second"},
		{Key: "z", Reason: "is missing"},
		{Line: 1, Reason: "is no TOML"},
		{Key: "a", Line: 2, Reason: "is first"},
		{Key: "a", Line: 2, Reason: "is also first"},
	})
	require.EqualError(t, err, "document: z: is missing; line 1: is no TOML; line 2: a: is first; line 2: a: is also first; "+
		"line 2: b: is second")
	var fault *tomlfile.FaultError
	require.True(t, errors.As(err, &fault))
	require.Equal(t, "z", fault.Key)
	require.NoError(t, tomlfile.Join("document", nil))
}
