package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event.
type record struct {
	begun time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(file *os.File) *record {
	return &record{begun: time.Now(), file: file, writer: bufio.NewWriter(file)}
}

// event writes a line with the time since the begin, a kind, and pairs of names and values.
func (r *record) event(kind string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %s", time.Since(r.begun).Seconds(), kind)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.writer, line.String())
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
