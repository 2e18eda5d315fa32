package check

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const longestLine = 1 << 20

// ReadLines decodes a file of JSON lines. A damaged line is an error that names its number.
func ReadLines[T any](source io.Reader) ([]T, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, longestLine)
	var values []T
	for number := 1; scanner.Scan(); number++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var value T
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&value); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		values = append(values, value)
	}
	return values, errors.WithStack(scanner.Err())
}
