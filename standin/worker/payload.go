package worker

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/worker"
)

const (
	maxRunTime    = 24 * time.Hour
	maxAnswerSize = 16 << 20
)

// Payload describes how a simulated task behaves.
type Payload struct {
	RunTime job.Duration `json:"run-time"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail"`
	// Size is the length of the answer in bytes.
	Size int `json:"size"`
}

// ParsePayload decodes a payload and checks its limits.
func ParsePayload(source []byte) (Payload, error) {
	var p Payload
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return Payload{}, errors.Wrap(err, "payload")
	}
	if p.RunTime < 0 || p.RunTime.Std() > maxRunTime {
		return Payload{}, errors.Errorf("payload: run-time %s is not between 0 and %s", p.RunTime, maxRunTime)
	}
	if p.Size < 0 || p.Size > maxAnswerSize {
		return Payload{}, errors.Errorf("payload: size %d is not between 0 and %d", p.Size, maxAnswerSize)
	}
	return p, nil
}

// ExpectedAnswer returns the answer that a request with this payload gets. Member 0 of a gang returns the whole answer, the other members none.
func ExpectedAnswer(key job.Key, payload []byte) ([]byte, error) {
	p, err := ParsePayload(payload)
	if err != nil {
		return nil, err
	}
	if p.Fail {
		return nil, errors.New("payload asks to fail")
	}
	return p.answer(key), nil
}

// answer repeats a digest of the key and the payload, so that an answer that belongs to another request differs.
func (p Payload) answer(key job.Key) []byte {
	source, _ := json.Marshal([]any{key, p})
	digest := worker.Digest(source)
	return bytes.Repeat([]byte(digest), p.Size/len(digest)+1)[:p.Size]
}
