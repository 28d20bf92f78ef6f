package settings_test

import (
	"flag"
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/testkit/recordedtest"
)

var update = flag.Bool("update", false, "write the recorded copies")

// structField matches the name of a Go field in messages of the decoder. The name may change, so it is not recorded.
var structField = regexp.MustCompile(`struct field \S+`)

// The keys and their defaults equal the recorded ones.
func TestRecordedDefaults(t *testing.T) {
	read, err := settings.Parse([]byte(minimalFile))
	require.NoError(t, err)
	recordedtest.Compare(t, *update, "testdata/defaults.txt", recordedtest.Values(reflect.ValueOf(*read), "toml"))
}

// The rejected values and the messages of their faults equal the recorded ones.
func TestRecordedBounds(t *testing.T) {
	_, err := settings.Parse(nil)
	lines := []string{fmt.Sprintf("nothing: %v", err)}
	for _, key := range recordedtest.Keys(reflect.TypeFor[settings.Settings](), "toml") {
		if strings.ContainsAny(key.Path, "[*") || strings.Contains(minimalFile, key.Path+" =") {
			continue
		}
		values := []string{"'no such'"}
		switch key.Kind {
		case reflect.Int:
			values = []string{"-1", "0", "1", "1.5", "9223372036854775807", "9223372036854775808"}
		case reflect.Float64:
			values = []string{"-0.001", "0", "0.001", "1", "1e300", "nan", "inf"}
		case reflect.Bool:
			values = []string{"1"}
		}
		for _, value := range values {
			text := key.Path + " = " + value + "\n" + minimalFile // a dotted key needs no heading of its table
			_, err := settings.Parse([]byte(text))
			lines = append(lines, fmt.Sprintf("%s = %s: %v", key.Path, value, err))
		}
	}
	for _, value := range []string{"[]", "[1]", "[0, 3]", "[1, 2]", "[1, 3]", "[65533, 65535]", "[65534, 65536]", "[3, 1]", "[1, 2, 3]"} {
		_, err := settings.Parse([]byte(strings.Replace(minimalFile, "[7660, 7662]", value, 1)))
		lines = append(lines, fmt.Sprintf("port-range = %s: %v", value, err))
	}
	text := structField.ReplaceAllString(strings.Join(lines, "\n")+"\n", "a field")
	recordedtest.Compare(t, *update, "testdata/bounds.txt", text)
}
