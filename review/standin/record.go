package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, in a file and in memory.
type record struct {
	begin time.Time

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	events []event
}

// event is one line of the record.
type event struct {
	at                   time.Time
	what, id, by, detail string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// event adds a line: what happened, the id of the request or "", and who saw it.
func (r *record) event(what, id, by, detail string) event {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := event{at: time.Now(), what: what, id: id, by: by, detail: detail}
	r.events = append(r.events, e)
	fmt.Fprintf(r.out, "%9.3f %-12s %-24s %-14s %s\n", e.at.Sub(r.begin).Seconds(), what, id, by, detail)
	return e
}

// all returns the events so far.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// say adds a remark and prints it.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.event("note", "", "", text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
