package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// submitRetries is how often a caller hands a job in again; the users' callers do so 4 times.
	submitRetries = 4
	// submitPause is the pause between tries if the answer does not tell one.
	submitPause = 200 * time.Millisecond
)

// step is a step of a job on the wire.
type step struct {
	Count        int
	CPU          int64 `json:"Cpu"`
	MemMb        int64
	Gpu          int64  `json:",omitempty"`
	EstimateMs   int64  `json:",omitempty"`
	Requirements string `json:",omitempty"`
	RunForever   bool   `json:",omitempty"`
	AntiAffinity int    `json:",omitempty"`
}

// call sends a call to an entry VM. The status is 0 if there was no answer.
func (s *site) call(v *vm, method, path string, body []byte) (int, string) {
	status, text, _ := s.send(v, method, path, body)
	return status, text
}

// send is call that also returns the time in the Retry-After header of the answer.
func (s *site) send(v *vm, method, path string, body []byte) (status int, text string, retryAfter time.Duration) {
	request, err := http.NewRequest(method, "http://"+v.frontAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", 0
	}
	request.Host = hostName
	request.Header.Set("Key", apiKey)
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, string(data)
			seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
			retryAfter = time.Duration(seconds) * time.Second
		}
	}
	s.rec.event("call", "vm", v.name, "method", method, "path", path, "sent", string(body), "status", status, "answer", text, "retry-after", retryAfter)
	return status, text, retryAfter
}

// submit hands in a job of one step until it is accepted, at one entry VM after the other. It waits as long as a refusal asks for.
func (s *site) submit(q queue, id string, count int, what task) error {
	payload, err := json.Marshal(what)
	if err != nil {
		return err
	}
	job := step{Count: count, CPU: what.Need.CPU, MemMb: what.Need.MemMb, Gpu: what.Need.Gpu, EstimateMs: what.WorkMs, Requirements: what.Label}
	if what.Lasting {
		job.RunForever, job.AntiAffinity = true, 1
	}
	body, err := json.Marshal(map[string]any{"TaskSpec": string(payload), "Steps": []step{job}})
	if err != nil {
		return err
	}
	for i := range 1 + submitRetries {
		status, _, retryAfter := s.send(s.vms[i%len(s.vms)], http.MethodPost, q.prefix()+id, body)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(max(submitPause, retryAfter))
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// waiting asks an entry VM how many jobs of a queue wait.
func (s *site) waiting(v *vm, q queue) (int, bool) {
	status, text := s.call(v, http.MethodGet, q.prefix(), nil)
	var answer struct{ Waiting *int }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil || answer.Waiting == nil {
		return 0, false
	}
	return *answer.Waiting, true
}

// jobID returns the id of a job by its number.
func jobID(number int) string { return fmt.Sprintf("%016x", 0xa0000+number) }
