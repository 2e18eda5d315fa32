package worker

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"clementinepier/job"
)

// Digest returns the SHA-256 digest of an answer in hexadecimal.
func Digest(answer []byte) string {
	sum := sha256.Sum256(answer)
	return hex.EncodeToString(sum[:])
}

// AnswerReply is the body of the reply to the answer call.
type AnswerReply struct {
	ID     job.TaskID `json:"id"`
	Answer []byte     `json:"answer"`
	Length int        `json:"length"`
	Digest string     `json:"digest"`
}

// Check returns an *ErrAnswerDamaged unless the answer belongs to task id and matches the length and digest in the reply.
func (r AnswerReply) Check(id job.TaskID) error {
	switch {
	case r.ID != id:
		return errors.WithStack(&ErrAnswerDamaged{ID: id.String(), Reason: "it belongs to task " + r.ID.String()})
	case r.Length != len(r.Answer):
		return errors.WithStack(&ErrAnswerDamaged{ID: id.String(), Reason: "length differs"})
	case r.Digest != Digest(r.Answer):
		return errors.WithStack(&ErrAnswerDamaged{ID: id.String(), Reason: "digest differs"})
	}
	return nil
}
