package check

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const maxLineLength = 1 << 20

// ReadLines decodes one JSON value per line and skips empty lines. It fails on a line that is not valid JSON or
// has an unknown field, with an error that contains the line number.
func ReadLines[T any](source io.Reader) ([]T, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineLength)
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
