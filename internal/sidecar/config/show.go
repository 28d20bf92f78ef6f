package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Shown is a setting in force.
type Shown struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	From  string `json:"from"` // origin of the value: default, the environment variable or the file
}

// secret replaces a value that must not be shown.
const secret = "(secret)"

// show lists the fields of a settings type that have the tag, in their order. The value of a field tagged secret is hidden.
func show(v reflect.Value, tag, path string, from func(key string) string) []Shown {
	var all []Shown
	switch v.Kind() {
	case reflect.Struct:
		for f, value := range v.Fields() {
			name, _, _ := strings.Cut(f.Tag.Get(tag), ",")
			switch key := join(path, name); {
			case name == "" || name == "-" || f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Uint8:
			case f.Tag.Get("secret") != "":
				if !value.IsZero() {
					all = append(all, Shown{key, secret, from(key)})
				}
			default:
				all = append(all, show(value, tag, key, from)...)
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			all = append(all, show(v.Index(i), tag, fmt.Sprintf("%s[%d]", path, i), from)...)
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		for _, k := range keys {
			all = append(all, show(v.MapIndex(k), tag, join(path, k.String()), from)...)
		}
	default:
		all = append(all, Shown{path, v.Interface(), from(path)})
	}
	return all
}
