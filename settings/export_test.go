package settings

import (
	"reflect"
	"strings"

	"clementinepier/bundle"
)

// KeysForTest returns every key of the settings file.
func KeysForTest() []string {
	return append(tomlKeys(reflect.TypeFor[file]()), tomlKeys(reflect.TypeFor[bundle.TrustedKey]())...)
}

func tomlKeys(t reflect.Type) (keys []string) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if tag == "" {
			continue
		}
		keys = append(keys, tag)
		if f := t.Field(i).Type; f.Kind() == reflect.Struct {
			keys = append(keys, tomlKeys(f)...)
		}
	}
	return keys
}
