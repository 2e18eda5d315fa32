package settings

import (
	"reflect"
	"strings"

	"clementinepier/bundle"
)

// KeysForTest returns every key of the TOML format.
func KeysForTest() []string {
	return append(keysOf(reflect.TypeFor[file]()), keysOf(reflect.TypeFor[bundle.TrustedKey]())...)
}

func keysOf(t reflect.Type) (keys []string) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if tag == "" {
			continue
		}
		keys = append(keys, tag)
		if f := t.Field(i).Type; f.Kind() == reflect.Struct {
			keys = append(keys, keysOf(f)...)
		}
	}
	return keys
}
