package bundle

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"clementinepier/job"
)

// DecodeTOML decodes a source into the struct that target points to. It returns a fault for each unknown key and each
// duration that is not a text, or for the first other value that does not fit. Keys differ by case.
func DecodeTOML(source []byte, target any) []Fault {
	err := toml.NewDecoder(bytes.NewReader(source)).DisallowUnknownFields().Decode(target)
	var faults []Fault
	if err != nil {
		faults = decodeFaults(err)
	}
	var raw map[string]any
	if toml.Unmarshal(source, &raw) != nil {
		return faults
	}
	strict := strictFaults(raw, reflect.TypeOf(target), "")
	if err != nil && faults[0].Key == unknownPlace {
		// The decoder does not tell which duration is wrong; the strict check does.
		if len(strict) > 0 {
			return strict
		}
	}
	return append(faults, strict...)
}

// unknownPlace is the key of a fault whose key the decoder does not tell.
const unknownPlace = "source"

func decodeFaults(err error) []Fault {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		faults := make([]Fault, 0, len(missing.Errors))
		for i := range missing.Errors {
			row, _ := missing.Errors[i].Position()
			faults = append(faults, Fault{Line: row, Key: strings.Join(missing.Errors[i].Key(), "."), Reason: "unknown key"})
		}
		return faults
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		if key == "" {
			key = unknownPlace
		}
		return []Fault{{Line: row, Key: key, Reason: strings.TrimPrefix(decode.Error(), "toml: ")}}
	}
	return []Fault{{Key: unknownPlace, Reason: err.Error()}}
}

// strictFaults finds what the decoder lets pass: keys that differ from a field's key only by case, and durations
// written as integers, which it would read as nanoseconds.
func strictFaults(value any, t reflect.Type, key string) []Fault {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == reflect.TypeFor[job.Duration]() {
		if _, isText := value.(string); !isText {
			return []Fault{{Key: key, Reason: `must be a duration in quotation marks, such as "1.5s"`}}
		}
		return nil
	}
	var faults []Fault
	switch v := value.(type) {
	case map[string]any:
		if t.Kind() != reflect.Struct {
			return nil
		}
		for _, name := range slices.Sorted(maps.Keys(v)) {
			path := strings.TrimPrefix(key+"."+name, ".")
			field, exact := fieldOf(t, name)
			switch {
			case field == nil:
			case !exact:
				faults = append(faults, Fault{Key: path, Reason: "unknown key; keys have no capital letters"})
			default:
				faults = append(faults, strictFaults(v[name], field, path)...)
			}
		}
	case []any:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i, item := range v {
			faults = append(faults, strictFaults(item, t.Elem(), fmt.Sprintf("%s[%d]", key, i))...)
		}
	}
	return faults
}

// fieldOf returns the type of the field that the decoder fills from a key, and whether the key is spelt exactly.
func fieldOf(t reflect.Type, name string) (field reflect.Type, exact bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if tag == name {
			return t.Field(i).Type, true
		}
		if strings.EqualFold(tag, name) {
			field = t.Field(i).Type
		}
	}
	return field, false
}
