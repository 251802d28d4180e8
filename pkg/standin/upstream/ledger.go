package upstream

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// How a run ended. A run without an end is still going on, or its process was
// killed.
const (
	Answered  = "answered"
	Cancelled = "cancelled"
	Expired   = "deadline"
	Crashed   = "crashed"
)

// Run is one line of the ledger.
type Run struct {
	Upstream string    `json:"upstream"`
	Number   int       `json:"number"` // counts the runs of one upstream process from 1
	Key      string    `json:"key"`    // Idempotency-Key, else Upstream-Key of the request
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Rank     string    `json:"rank,omitempty"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end,omitzero"`
	Outcome  string    `json:"outcome,omitempty"`
}

// ledger records runs. Each change is also written as a line to out, so that
// the ledger of a process outlives it; the last line of a number counts.
type ledger struct {
	mu   sync.Mutex
	runs []Run
	out  io.Writer
}

func (l *ledger) begin(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Number, r.Start = len(l.runs)+1, time.Now()
	l.runs = append(l.runs, r)
	l.write(r)
	return r.Number
}

func (l *ledger) end(number int, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.runs[number-1]
	r.End, r.Outcome = time.Now(), outcome
	l.write(*r)
}

func (l *ledger) write(r Run) {
	if l.out != nil {
		_ = json.NewEncoder(l.out).Encode(r)
	}
}

func (l *ledger) all() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// ReadLedger reads lines written by upstream processes and returns the last
// state of each run. A torn last line is ignored.
func ReadLedger(r io.Reader) []Run {
	type id struct {
		upstream string
		number   int
	}
	at := map[id]int{}
	var runs []Run
	for lines := json.NewDecoder(r); ; {
		var run Run
		if lines.Decode(&run) != nil {
			return runs
		}
		key := id{run.Upstream, run.Number}
		if i, ok := at[key]; ok {
			runs[i] = run
			continue
		}
		at[key] = len(runs)
		runs = append(runs, run)
	}
}
