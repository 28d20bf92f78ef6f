// Package recordedtest compares the external interface of programs with recorded copies, for tests only. None of its output depends
// on names in the source code.
package recordedtest

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

// Compare fails if a text differs from its recorded copy. With update it writes the copy.
func Compare(t *testing.T, update bool, path, text string) {
	t.Helper()
	require.NotEmpty(t, text)
	if update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(recorded), text, "text differs from its recorded copy; run the test with -update only if the change is intended")
}

// Commands describes the commands, arguments and flags of a command line, without the help texts.
func Commands(model *kong.Application) string {
	var lines []string
	addCommands(&lines, model.Node)
	return strings.Join(lines, "\n") + "\n"
}

func addCommands(lines *[]string, node *kong.Node) {
	line := "command " + node.Path()
	if len(node.Aliases) > 0 {
		line += fmt.Sprintf(" aliases=%q", node.Aliases)
	}
	if node.DefaultCmd != nil {
		line += " default=" + node.DefaultCmd.Name
	}
	*lines = append(*lines, fmt.Sprintf("%s passthrough=%t hidden=%t", line, node.Passthrough, node.Hidden))
	for _, argument := range node.Positional {
		*lines = append(*lines, "  argument "+describeValue(argument))
	}
	for _, flag := range node.Flags {
		line := fmt.Sprintf("  flag --%s env=%q aliases=%q hidden=%t", describeValue(flag.Value), flag.Envs, flag.Aliases, flag.Hidden)
		if flag.Short != 0 {
			line += " short=" + string(flag.Short)
		}
		if flag.Negated || flag.Tag.Negatable != "" {
			line += " negatable"
		}
		*lines = append(*lines, line)
	}
	for _, child := range node.Children {
		addCommands(lines, child)
	}
}

func describeValue(value *kong.Value) string {
	kind := value.Target.Kind().String()
	if of := value.Target.Type(); of.PkgPath() == "time" {
		kind = of.String()
	}
	return fmt.Sprintf("%s kind=%s default=%q required=%t enum=%q type=%q", value.Name, kind, value.Default,
		value.Required, value.Enum, value.Tag.Type)
}

// Key is a key of a configuration file, such as "classes[].name".
type Key struct {
	Path string
	Kind reflect.Kind
}

// Keys returns the keys of a type according to its struct tags, sorted by path.
func Keys(of reflect.Type, tag string) []Key {
	var keys []Key
	addKeys(&keys, of, tag, "")
	slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.Path, b.Path) })
	return keys
}

func addKeys(keys *[]Key, of reflect.Type, tag, path string) {
	switch of.Kind() {
	case reflect.Struct:
		for index := range of.NumField() {
			field := of.Field(index)
			name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
			switch {
			case field.Anonymous && name == "":
				addKeys(keys, field.Type, tag, path)
			case name != "" && name != "-":
				addKeys(keys, field.Type, tag, strings.TrimPrefix(path+"."+name, "."))
			}
		}
	case reflect.Slice:
		addKeys(keys, of.Elem(), tag, path+"[]")
	case reflect.Map:
		addKeys(keys, of.Elem(), tag, path+".*")
	default:
		*keys = append(*keys, Key{Path: path, Kind: of.Kind()})
	}
}

// Values returns a line "key = value" for each value, sorted.
func Values(value reflect.Value, tag string) string {
	var lines []string
	addValues(&lines, value, tag, "")
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func addValues(lines *[]string, value reflect.Value, tag, path string) {
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			name, _, _ := strings.Cut(value.Type().Field(index).Tag.Get(tag), ",")
			if name != "" && name != "-" {
				addValues(lines, value.Field(index), tag, strings.TrimPrefix(path+"."+name, "."))
			}
		}
	case reflect.Slice, reflect.Map:
		text := fmt.Sprint(value.Interface())
		if value.Len() == 0 {
			text = "none"
		}
		*lines = append(*lines, fmt.Sprintf("%s (%s) = %s", path, value.Kind(), text))
	case reflect.String:
		*lines = append(*lines, fmt.Sprintf("%s (string) = %q", path, value.String()))
	default:
		*lines = append(*lines, fmt.Sprintf("%s (%s) = %v", path, value.Kind(), value.Interface()))
	}
}
