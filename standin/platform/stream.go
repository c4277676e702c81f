package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// stream holds the retained records of one stream; records[0] has offset first.
type stream struct {
	first   uint64
	records []record
	changed chan struct{} // closed and replaced by each append
}

type record struct {
	data []byte
	at   time.Time
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

// open returns the stream of a name, and creates it.
func (s *Server) open(name string) *stream {
	st, ok := s.stream[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.stream[name] = st
	}
	return st
}

// expire drops the records that are beyond the retention limits.
func (s *Server) expire(st *stream) {
	drop := 0
	if limit := s.cfg.RetainRecords; limit > 0 {
		drop = max(0, len(st.records)-limit)
	}
	if s.cfg.RetainAge > 0 {
		oldest := time.Now().Add(-s.cfg.RetainAge)
		for drop < len(st.records) && st.records[drop].at.Before(oldest) {
			drop++
		}
	}
	clear(st.records[:drop]) // frees the data although the array is shared
	st.records = st.records[drop:]
	st.first += uint64(drop)
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("stream")
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxRecordBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	// A delayed append takes effect although its writer has given up waiting.
	s.pass(context.WithoutCancel(r.Context()), name)
	if !json.Valid(data) {
		writeError(w, http.StatusBadRequest, "the record is not JSON")
		return
	}
	offset, verdict := s.store(name, data)
	switch verdict {
	case appendLimited:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "too many appends")
	case appendDropped, appendUnanswered:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
	}
}

type appendVerdict int

const (
	appendDone appendVerdict = iota
	appendLimited
	appendDropped    // did not take effect, no answer
	appendUnanswered // took effect, no answer
)

func (s *Server) store(name string, data []byte) (uint64, appendVerdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.window.allow(time.Now(), s.cfg.AppendsPerSecond) {
		s.stats.Limited++
		return 0, appendLimited
	}
	if s.faults.draw(name, s.faults.DropAppends) {
		s.stats.Dropped++
		return 0, appendDropped
	}
	st := s.open(name)
	offset := st.next()
	st.records = append(st.records, record{data: data, at: time.Now()})
	s.expire(st)
	close(st.changed)
	st.changed = make(chan struct{})
	s.stats.Appends++
	s.stats.Bytes += uint64(len(data))
	if s.faults.draw(name, s.faults.LoseAnswers) {
		s.stats.LostAnswers++
		return offset, appendUnanswered
	}
	return offset, appendDone
}

// readQuery holds the parameters of a read.
type readQuery struct {
	from    uint64
	fromAny bool // no offset was asked for: read from the first
	max     int
	wait    time.Duration
}

func parseRead(r *http.Request) (readQuery, error) {
	q := readQuery{max: defaultMaxRecords}
	values := r.URL.Query()
	var err error
	if text := values.Get("from"); text == "" {
		q.fromAny = true
	} else if q.from, err = strconv.ParseUint(text, 10, 64); err != nil {
		return q, err
	}
	if text := values.Get("max"); text != "" {
		if q.max, err = strconv.Atoi(text); err != nil {
			return q, err
		}
	}
	if text := values.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return q, err
		}
		q.wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	q.max = min(max(q.max, 1), defaultMaxRecords)
	return q, nil
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q, err := parseRead(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	name := r.PathValue("stream")
	s.pass(r.Context(), name)
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for waiting := q.wait > 0; ; {
		status, body, changed, faulted := s.collect(name, q, waiting)
		if body != nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(body) // the reader is gone when this fails
			return
		}
		select {
		case <-changed:
		case <-faulted:
			s.pass(r.Context(), name)
		case <-timer.C:
			waiting = false
		case <-s.closed:
			waiting = false
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// collect returns the answer to a read. While the reader waits and there is
// nothing new, it returns no body but the channels that tell of changes.
func (s *Server) collect(name string, q readQuery, waiting bool) (int, []byte, <-chan struct{}, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.stream[name]
	if !ok && waiting {
		st = s.open(name)
	} else if !ok {
		st = &stream{}
	}
	s.expire(st)
	if q.fromAny {
		q.from = st.first
	}
	if q.from < st.first {
		s.stats.Reads++
		return http.StatusGone, []byte(`{"first":` + strconv.FormatUint(st.first, 10) + `}`), nil, nil
	}
	if q.from >= st.next() && waiting {
		return 0, nil, st.changed, s.faults.changed
	}
	s.stats.Reads++
	return http.StatusOK, s.encode(st, q), nil, nil
}

// encode writes the answer by hand because json.Marshal would compact the
// records, and readers get them as they were appended.
func (s *Server) encode(st *stream, q readQuery) []byte {
	var b bytes.Buffer
	b.WriteString(`{"first":` + strconv.FormatUint(st.first, 10) + `,"next":` + strconv.FormatUint(st.next(), 10) + `,"records":[`)
	for n, offset := 0, q.from; n < q.max && offset < st.next() && (n == 0 || b.Len() < maxAnswerBytes); n, offset = n+1, offset+1 {
		if n > 0 {
			b.WriteByte(',')
		}
		data := st.records[offset-st.first].data
		b.WriteString(`{"offset":` + strconv.FormatUint(offset, 10) + `,"data":`)
		b.Write(data)
		b.WriteByte('}')
		s.stats.Bytes += uint64(len(data))
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the reader is gone when this fails
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}
