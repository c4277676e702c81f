package replica

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mangogate/mangogate/node/logclient"
)

// fakeLog is a log service that fails as the test prescribes.
type fakeLog struct {
	*httptest.Server
	mu          sync.Mutex
	streams     map[string][]logclient.Record
	first       map[string]uint64
	appended    chan struct{} // closed at the next append
	redelivered uint64        // largest number of earlier records that a page delivers again
	// onAppend returns how many copies of the n-th append are stored, and the
	// HTTP status of the reply; 0 closes the connection without a reply.
	onAppend func(n int) (copies, status int)
	appends  int
	onRead   func() (status int) // HTTP status of the next read, 0 as for onAppend
}

func newFakeLog(t *testing.T) *fakeLog {
	f := &fakeLog{
		streams: map[string][]logclient.Record{}, first: map[string]uint64{}, appended: make(chan struct{}),
		onAppend: func(int) (int, int) { return 1, 200 }, onRead: func() int { return 200 },
	}
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

// locked runs change with the mutex held.
func (f *fakeLog) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// add appends a record; the caller holds the mutex.
func (f *fakeLog) add(stream string, data []byte) uint64 {
	n := f.first[stream] + uint64(len(f.streams[stream]))
	f.streams[stream] = append(f.streams[stream], logclient.Record{Offset: n, Data: data})
	close(f.appended)
	f.appended = make(chan struct{})
	return n
}

// expire removes the records below the offset first.
func (f *fakeLog) expire(stream string, first uint64) {
	f.streams[stream] = f.streams[stream][first-f.first[stream]:]
	f.first[stream] = first
}

func (f *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stream := strings.Split(r.URL.Path, "/")[3]
	if r.Method == http.MethodPost {
		f.serveAppend(w, r, stream)
		return
	}
	number := func(name string) uint64 { n, _ := strconv.ParseUint(r.FormValue(name), 10, 64); return n }
	deadline := time.After(time.Duration(number("wait_ms")) * time.Millisecond)
	for {
		f.mu.Lock()
		status, appended := f.onRead(), f.appended
		from, first, next := number("from"), f.first[stream], f.first[stream]+uint64(len(f.streams[stream]))
		if status == 200 && from < first {
			status = http.StatusGone
		}
		page := logclient.Page{First: first, Next: next}
		if status == 200 && from < next {
			begin := max(from, first+f.redelivered) - f.redelivered
			page.Records = append(page.Records, f.streams[stream][begin-first:min(from+number("max"), next)-first]...)
		}
		f.mu.Unlock()
		if status != 200 || len(page.Records) > 0 || number("wait_ms") == 0 {
			reply(w, status, page)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			reply(w, status, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (f *fakeLog) serveAppend(w http.ResponseWriter, r *http.Request, stream string) {
	data, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.appends++
	copies, status := f.onAppend(f.appends)
	var offset uint64
	for range copies {
		offset = f.add(stream, data)
	}
	f.mu.Unlock()
	reply(w, status, map[string]uint64{"offset": offset})
}

// reply writes a response; status 0 closes the connection instead.
func reply(w http.ResponseWriter, status int, body any) {
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
