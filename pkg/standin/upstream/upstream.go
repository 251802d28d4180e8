package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the upstream and its control paths.
const (
	NotRunHeader   = "Upstream-Not-Run" // "true" on answers to calls that did not run
	NameHeader     = "Upstream-Name"    // of the answering upstream
	RunHeader      = "Upstream-Run"     // number of the run in its ledger
	KeyHeader      = "Upstream-Key"     // names a call without Idempotency-Key in the ledger
	BytesHeader    = "Upstream-Bytes"   // asks for a body of this size, made of the key
	CrashHeader    = "Upstream-Crash"   // "true" crashes the upstream
	FurtherHeader  = "Upstream-Further" // URLs, separated by spaces, to call one from the next
	DeadlineHeader = "Lentilflow-Deadline-Ms"
	RankHeader     = "Lentilflow-Rank"
	CallHeader     = "Lentilflow-Call"

	HealthPath    = "/health"
	LedgerPath    = "/ledger"            // one line of JSON for each run
	BehaviourPath = "/control/behaviour" // GET and PUT of Behaviour
)

// Config configures an upstream.
type Config struct {
	Name        string
	Slots       int           // runs at a time; a call beyond them is shed
	Connections int           // open connections; 0 means no limit
	ConnectTime time.Duration // added to each new connection; 0 stands for 1 ms
	Behaviour   Behaviour
	NodeURL     string    // of the node beside the upstream, for further calls
	LedgerOut   io.Writer // gets each ledger line as it is written; may be nil
	// OnCrash ends the upstream. Nil closes the server of Start.
	OnCrash func()
}

// Upstream is the stand-in. It is an http.Handler; Start gives it a listener.
type Upstream struct {
	cfg     Config
	started time.Time
	ledger  ledger
	history healthHistory
	client  http.Client

	mu        sync.Mutex
	behaviour Behaviour
	inFlight  int
	server    *http.Server
	address   string
}

// New returns an upstream without a listener.
func New(cfg Config) *Upstream {
	if cfg.ConnectTime == 0 {
		cfg.ConnectTime = time.Millisecond
	}
	u := &Upstream{cfg: cfg, started: time.Now(), behaviour: cfg.Behaviour, ledger: ledger{out: cfg.LedgerOut}}
	u.history.record(u.started, u.health())
	return u
}

// Set replaces the behaviour.
func (u *Upstream) Set(b Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
	u.history.record(time.Now(), u.health())
}

// Behaviour returns the current behaviour.
func (u *Upstream) Behaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// Ledger returns the runs so far.
func (u *Upstream) Ledger() []Run { return u.ledger.all() }

// ServeHTTP serves the control paths and runs every other call.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case HealthPath:
		u.serveHealth(w)
	case LedgerPath:
		lines := json.NewEncoder(w)
		for _, run := range u.ledger.all() {
			_ = lines.Encode(run)
		}
	case BehaviourPath:
		u.serveBehaviour(w, r)
	default:
		u.call(w, r)
	}
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	b := u.Behaviour()
	health := u.history.before(time.Now().Add(-b.HealthLag))
	if b.HealthLie {
		health = Health{State: "ready", Slots: u.cfg.Slots}
	}
	_ = json.NewEncoder(w).Encode(health)
}

func (u *Upstream) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		_ = json.NewEncoder(w).Encode(u.Behaviour())
		return
	}
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.Set(b)
	w.WriteHeader(http.StatusNoContent)
}

// health must be called with the lock held or before the upstream is shared.
func (u *Upstream) health() Health {
	state := "ready"
	if time.Since(u.started) < u.behaviour.ColdStart {
		state = "cold"
	}
	if u.behaviour.Draining {
		state = "draining"
	}
	return Health{State: state, InFlight: u.inFlight, Slots: u.cfg.Slots}
}

// enter takes a slot, or returns false if the call is shed.
func (u *Upstream) enter() (Behaviour, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := u.behaviour
	if b.Shed || b.Draining || u.inFlight >= u.cfg.Slots {
		return b, false
	}
	u.inFlight++
	u.history.record(time.Now(), u.health())
	return b, true
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	u.history.record(time.Now(), u.health())
}

func (u *Upstream) call(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(NameHeader, u.cfg.Name)
	body, err := io.ReadAll(r.Body) // a torn request does not run
	if err != nil {
		w.Header().Set(NotRunHeader, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, ok := u.enter()
	if !ok {
		w.Header().Set(NotRunHeader, "true")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer u.leave()
	key := requestKey(r)
	number := u.ledger.begin(Run{Upstream: u.cfg.Name, Key: key, Method: r.Method, Path: r.URL.Path, Rank: r.Header.Get(RankHeader)})
	w.Header().Set(RunHeader, strconv.Itoa(number))
	if r.Header.Get(CrashHeader) == "true" || b.crashes(r.URL.Path) {
		u.ledger.end(number, Crashed)
		u.crash()
		panic(http.ErrAbortHandler)
	}
	outcome := work(r, b.serviceTime(r.URL.Path, time.Since(u.started)))
	var further *Further
	if outcome == Answered {
		further = u.further(r)
	}
	u.ledger.end(number, outcome)
	if outcome != Answered {
		http.Error(w, outcome, http.StatusGatewayTimeout)
		return
	}
	writeAnswer(w, r, Answer{Upstream: u.cfg.Name, Run: number, Key: key, BodyBytes: len(body), Further: further})
}

func requestKey(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.Header.Get(KeyHeader)
}

// work takes the given time and returns how it ended.
func work(r *http.Request, took time.Duration) string {
	deadline := make(<-chan time.Time)
	if ms, err := strconv.Atoi(r.Header.Get(DeadlineHeader)); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return Answered
	case <-deadline:
		return Expired
	case <-r.Context().Done():
		return Cancelled
	}
}
