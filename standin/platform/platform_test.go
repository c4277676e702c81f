package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startPlatform(t *testing.T, cfg Config) (*Server, string) {
	s := New(cfg)
	srv := httptest.NewServer(s)
	t.Cleanup(func() { s.Close(); srv.Close() })
	return s, srv.URL
}

func post(t *testing.T, url, body string) (int, string, error) {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

func get(t *testing.T, url string) (int, string) {
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// Guards against records that are re-encoded between append and read, wrong
// offsets, and accepting a record that is not JSON.
func TestRecordsAreKeptAsTheyAre(t *testing.T) {
	_, url := startPlatform(t, Config{})
	status, body, err := post(t, url+"/v1/streams/control/records", `{ "a" : "<&>" }`)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, `{"offset":0}`, body)
	_, body = get(t, url+"/v1/streams/control/records?from=0")
	require.Equal(t, `{"first":0,"next":1,"records":[{"offset":0,"data":{ "a" : "<&>" }}]}`, body)
	status, _, err = post(t, url+"/v1/streams/control/records", `{`)
	require.NoError(t, err)
	require.Equal(t, 400, status)
}

// Guards against a read that silently skips records: a reader whose offset is
// below the first retained one must get status 410 and that first offset.
func TestReadBeforeFirstIsGone(t *testing.T) {
	_, url := startPlatform(t, Config{RetainRecords: 2})
	for range 5 {
		_, _, err := post(t, url+"/v1/streams/control/records", `1`)
		require.NoError(t, err)
	}
	status, body := get(t, url+"/v1/streams/control/records?from=2")
	require.Equal(t, 410, status)
	require.Equal(t, `{"first":3}`, body)
	status, _ = get(t, url+"/v1/streams/control/records?from=3")
	require.Equal(t, 200, status)
}

// Guards against a lost answer whose append takes no effect or takes effect
// twice because the HTTP client retries it, and against a dropped append that
// takes effect.
func TestLostAnswersTakeEffect(t *testing.T) {
	s, url := startPlatform(t, Config{})
	s.SetFaults(Faults{LoseAnswers: 1, Streams: []string{"control"}})
	_, _, err := post(t, url+"/v1/streams/control/records", `1`)
	require.Error(t, err)
	require.Equal(t, uint64(1), s.Stats().Streams["control"].Next)
	_, _, err = post(t, url+"/v1/streams/other/records", `1`)
	require.NoError(t, err, "only the named streams are affected")
	s.SetFaults(Faults{DropAppends: 1})
	_, _, err = post(t, url+"/v1/streams/control/records", `1`)
	require.Error(t, err)
	require.Equal(t, uint64(1), s.Stats().Streams["control"].Next)
}

// Guards against a long poll that misses the record it waits for, and against a
// long poll that is still answered after the service has gone down.
func TestLongPoll(t *testing.T) {
	s, url := startPlatform(t, Config{})
	answers := make(chan string, 1)
	poll := func() {
		resp, err := http.Get(url + "/v1/streams/control/records?from=0&wait_ms=20000")
		if err != nil {
			answers <- "cut"
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		answers <- string(text)
	}
	waiting := func() bool { _, ok := s.Stats().Streams["control"]; return ok }
	go poll()
	require.Eventually(t, waiting, 5*time.Second, time.Millisecond)
	s.SetFaults(Faults{Down: true})
	require.Equal(t, "cut", <-answers)
	s.SetFaults(Faults{})
	go poll()
	_, _, err := post(t, url+"/v1/streams/control/records", `7`)
	require.NoError(t, err)
	require.Contains(t, <-answers, `"data":7`)
}

// Guards against reuse of the id of a VM that is gone, and against a change of
// the VM list that is visible before VMLag has passed.
func TestVMList(t *testing.T) {
	s, url := startPlatform(t, Config{VMLag: 50 * time.Millisecond})
	began := time.Now()
	require.NoError(t, s.SetVM(VM{ID: "vm1", State: StateLive}))
	require.Eventually(t, func() bool { return len(s.VMs()) == 1 }, 5*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond)
	require.NoError(t, s.SetVM(VM{ID: "vm1", State: StateGone}))
	status, _, err := post(t, url+"/v1/vms", `{"id":"vm1","state":"live"}`)
	require.NoError(t, err)
	require.Equal(t, 409, status)
	_, body := get(t, url+"/v1/vms")
	var list struct{ VMs []VM }
	require.NoError(t, json.Unmarshal([]byte(body), &list))
	require.Len(t, list.VMs, 1)
}

// Guards against a limit of appends per second that is not enforced.
func TestAppendRateLimit(t *testing.T) {
	s, url := startPlatform(t, Config{AppendsPerSecond: 1})
	limited := func() bool {
		status, _, err := post(t, url+"/v1/streams/control/records", `1`)
		return err == nil && status == http.StatusTooManyRequests
	}
	require.Eventually(t, limited, 5*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, s.Stats().Appends, uint64(1))
}
