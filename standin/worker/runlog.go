package worker

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"clementinepier/job"
	"clementinepier/worker"
)

// RunEvent is the kind of a line in the run log.
type RunEvent string

// The kinds of lines in the run log.
const (
	EventStart RunEvent = "start"
	EventEnd   RunEvent = "end"
)

// RunLine is one line of the run log, in JSON.
type RunLine struct {
	Event         RunEvent     `json:"event"`
	Time          time.Time    `json:"time"`
	Worker        string       `json:"worker"`
	BootID        string       `json:"boot-id"`
	Rack          string       `json:"rack"`
	FailureDomain string       `json:"failure-domain"`
	ID            job.TaskID   `json:"id"`
	Nonce         string       `json:"nonce"`
	Members       int          `json:"members"`
	Idempotent    bool         `json:"idempotent"`
	State         worker.State `json:"state"`
}

type runLog struct {
	out      io.Writer
	mu       sync.Mutex
	firstErr error
}

func (l *runLog) write(info worker.Info, event RunEvent, at time.Time, t *task) {
	if l.out == nil {
		return
	}
	line, err := json.Marshal(RunLine{
		Event: event, Time: at, Worker: info.Name, BootID: info.BootID, Rack: info.Rack, FailureDomain: info.FailureDomain,
		ID: t.spec.ID, Nonce: t.spec.Nonce, Members: t.spec.Shape.Tasks, Idempotent: t.spec.Idempotent, State: t.state,
	})
	if err == nil {
		_, err = l.out.Write(append(line, '\n'))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstErr == nil {
		l.firstErr = err
	}
}

func (l *runLog) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstErr
}
