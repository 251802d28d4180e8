package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Control paths of the stand-in; they are not part of the protocol.
const (
	FaultsPath   = "/control/v1/faults"   // GET and PUT of Faults
	CountersPath = "/control/v1/counters" // GET of Counters
)

const (
	maxBodyBytes = 8 << 20
	maxScanLimit = 1000
)

// Config configures the stand-in. Zero values stand for the defaults.
type Config struct {
	WritesPerSecond int
	ReadsPerSecond  int
	Seed            uint64 // of the share of lost answers
}

// Service is the HTTP face of both services. It is an http.Handler.
type Service struct {
	Rows  *Rows
	Blobs *Blobs

	gate *gate
	mux  *http.ServeMux
}

// NewService returns a service with empty state.
func NewService(cfg Config) *Service {
	if cfg.WritesPerSecond == 0 {
		cfg.WritesPerSecond = DefaultWrites
	}
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReads
	}
	s := &Service{
		Rows:  NewRows(),
		Blobs: NewBlobs(),
		gate:  newGate(cfg.WritesPerSecond, cfg.ReadsPerSecond, cfg.Seed),
		mux:   http.NewServeMux(),
	}
	s.mux.HandleFunc("GET "+platform.RowPath, s.gated(false, s.getRow))
	s.mux.HandleFunc("GET "+platform.RowsPath, s.gated(false, s.scan))
	s.mux.HandleFunc("POST "+platform.TransactionPath, s.gated(true, s.commit))
	s.mux.HandleFunc("GET "+platform.ObjectPath+"{key...}", s.gated(false, s.getObject))
	s.mux.HandleFunc("PUT "+platform.ObjectPath+"{key...}", s.gated(true, s.putObject))
	s.mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.gate.get()) })
	s.mux.HandleFunc("PUT "+FaultsPath, s.putFaults)
	s.mux.HandleFunc("GET "+CountersPath, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.gate.counters()) })
	return s
}

// SetFaults replaces the switches.
func (s *Service) SetFaults(f Faults) { s.gate.set(f) }

// Counters returns the counts since the start.
func (s *Service) Counters() Counters { return s.gate.counters() }

// ServeHTTP serves the protocol and the control paths.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

type operation func(r *http.Request, body []byte) (status int, header http.Header, answer []byte)

// gated reads the whole request before it asks the gate, so that a request
// which breaks off takes no effect.
func (s *Service) gated(write bool, op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		fate := s.gate.admit(write)
		time.Sleep(fate.delay)
		if fate.refused {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		status, header, answer := op(r, body)
		if fate.lost {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	}
}

func (s *Service) getRow(r *http.Request, _ []byte) (int, http.Header, []byte) {
	row, err := s.Rows.Get(r.Context(), r.URL.Query().Get("key"))
	return jsonAnswer(row, err)
}

func (s *Service) scan(r *http.Request, _ []byte) (int, http.Header, []byte) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxScanLimit {
		return http.StatusBadRequest, nil, []byte("limit must be between 1 and 1000")
	}
	rows, err := s.Rows.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	return jsonAnswer(platform.Rows{Rows: rows}, err)
}

func (s *Service) commit(r *http.Request, body []byte) (int, http.Header, []byte) {
	var t platform.Transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, nil, []byte(err.Error())
	}
	rows, err := s.Rows.Commit(r.Context(), t)
	return jsonAnswer(platform.Rows{Rows: rows}, err)
}

func (s *Service) getObject(r *http.Request, _ []byte) (int, http.Header, []byte) {
	o, err := s.Blobs.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		return jsonAnswer(nil, err)
	}
	header := http.Header{"Etag": {o.ETag}, "Content-Length": {strconv.Itoa(len(o.Body))}}
	return http.StatusOK, header, o.Body
}

func (s *Service) putObject(r *http.Request, body []byte) (int, http.Header, []byte) {
	condition := r.Header.Get("If-Match")
	if r.Header.Get("If-None-Match") == "*" {
		condition = platform.IfAbsent
	}
	tag, err := s.Blobs.Put(r.Context(), r.PathValue("key"), body, condition)
	if errors.Is(err, platform.ErrConflict) {
		return http.StatusPreconditionFailed, nil, nil
	}
	return http.StatusNoContent, http.Header{"Etag": {tag}}, nil
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func jsonAnswer(v any, err error) (int, http.Header, []byte) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound, nil, nil
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict, nil, nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return http.StatusInternalServerError, nil, []byte(err.Error())
	}
	return http.StatusOK, http.Header{"Content-Type": {"application/json"}}, b
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
