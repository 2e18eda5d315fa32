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
// duration that is not a string, or for the first other value of a wrong type. Keys are case-sensitive.
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
	if err != nil && faults[0].Key == sourceKey {
		// The decoder does not report which duration is invalid; the strict check does.
		if len(strict) > 0 {
			return strict
		}
	}
	return append(faults, strict...)
}

// sourceKey is the key of a fault for which the decoder reports no key.
const sourceKey = "source"

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
			key = sourceKey
		}
		return []Fault{{Line: row, Key: key, Reason: strings.TrimPrefix(decode.Error(), "toml: ")}}
	}
	return []Fault{{Key: sourceKey, Reason: err.Error()}}
}

// strictFaults returns the faults that the decoder accepts: keys that differ from a field's key only by case, and
// durations written as integers, which the decoder would read as nanoseconds.
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
			field, exact := fieldType(t, name)
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

// fieldType returns the type of the field into which the decoder decodes a key, and whether the key matches exactly.
func fieldType(t reflect.Type, name string) (field reflect.Type, exact bool) {
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
