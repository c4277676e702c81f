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
	data       []byte
	appendedAt time.Time
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

// openStream returns the named stream and creates it if it does not exist.
func (s *Server) openStream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// expire drops the records that exceed the retention limits.
func (s *Server) expire(st *stream) {
	drop := 0
	if limit := s.cfg.RetainRecords; limit > 0 {
		drop = max(0, len(st.records)-limit)
	}
	if s.cfg.RetainAge > 0 {
		oldest := time.Now().Add(-s.cfg.RetainAge)
		for drop < len(st.records) && st.records[drop].appendedAt.Before(oldest) {
			drop++
		}
	}
	clear(st.records[:drop]) // lets the data be freed although the backing array is still in use
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
	// A delayed append takes effect even if the client disconnects meanwhile.
	s.delayOrAbort(context.WithoutCancel(r.Context()), name)
	if !json.Valid(data) {
		writeError(w, http.StatusBadRequest, "the record is not JSON")
		return
	}
	offset, result := s.storeRecord(name, data)
	switch result {
	case appendLimited:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "too many appends")
	case appendDropped, appendAnswerLost:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
	}
}

type appendResult int

const (
	appendDone appendResult = iota
	appendLimited
	appendDropped    // took no effect, gets no answer
	appendAnswerLost // took effect, gets no answer
)

func (s *Server) storeRecord(name string, data []byte) (uint64, appendResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.appendLimit.allow(time.Now(), s.cfg.AppendsPerSecond) {
		s.stats.Limited++
		return 0, appendLimited
	}
	if s.faults.drawFault(name, s.faults.DropAppends) {
		s.stats.Dropped++
		return 0, appendDropped
	}
	st := s.openStream(name)
	offset := st.next()
	st.records = append(st.records, record{data: data, appendedAt: time.Now()})
	s.expire(st)
	close(st.changed)
	st.changed = make(chan struct{})
	s.stats.Appends++
	s.stats.Bytes += uint64(len(data))
	if s.faults.drawFault(name, s.faults.LoseAnswers) {
		s.stats.LostAnswers++
		return offset, appendAnswerLost
	}
	return offset, appendDone
}

// readQuery holds the parameters of a read.
type readQuery struct {
	from       uint64
	fromFirst  bool // the request has no offset: read from the first retained record
	maxRecords int
	wait       time.Duration
}

func parseRead(r *http.Request) (readQuery, error) {
	q := readQuery{maxRecords: maxAnswerRecords}
	values := r.URL.Query()
	var err error
	if text := values.Get("from"); text == "" {
		q.fromFirst = true
	} else if q.from, err = strconv.ParseUint(text, 10, 64); err != nil {
		return q, err
	}
	if text := values.Get("max"); text != "" {
		if q.maxRecords, err = strconv.Atoi(text); err != nil {
			return q, err
		}
	}
	if text := values.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return q, err
		}
		q.wait = min(time.Duration(ms)*time.Millisecond, maxLongPoll)
	}
	q.maxRecords = min(max(q.maxRecords, 1), maxAnswerRecords)
	return q, nil
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q, err := parseRead(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	name := r.PathValue("stream")
	s.delayOrAbort(r.Context(), name)
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for waiting := q.wait > 0; ; {
		status, body, changed, faulted := s.tryRead(name, q, waiting)
		if body != nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(body) // fails only if the client has disconnected
			return
		}
		select {
		case <-changed:
		case <-faulted:
			s.delayOrAbort(r.Context(), name)
		case <-timer.C:
			waiting = false
		case <-s.closed:
			waiting = false
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// tryRead returns the status and the body of the answer to a read. If the reader
// is waiting and has no new records, the body is nil and tryRead returns the
// channels that are closed when a record is appended and when the faults change.
func (s *Server) tryRead(name string, q readQuery, waiting bool) (int, []byte, <-chan struct{}, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok && waiting {
		st = s.openStream(name)
	} else if !ok {
		st = &stream{}
	}
	s.expire(st)
	if q.fromFirst {
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
	return http.StatusOK, s.encodeAnswer(st, q), nil, nil
}

// encodeAnswer writes the JSON by hand because json.Marshal would compact the
// records, and readers must get the bytes that were appended.
func (s *Server) encodeAnswer(st *stream, q readQuery) []byte {
	var b bytes.Buffer
	b.WriteString(`{"first":` + strconv.FormatUint(st.first, 10) + `,"next":` + strconv.FormatUint(st.next(), 10) + `,"records":[`)
	for n, offset := 0, q.from; n < q.maxRecords && offset < st.next() && (n == 0 || b.Len() < maxAnswerBytes); n, offset = n+1, offset+1 {
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
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}
