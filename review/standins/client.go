package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// newID returns the Attempt-Id of a request.
func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func randomKey() int {
	n, _ := rand.Int(rand.Reader, big.NewInt(keys))
	return int(n.Int64())
}

// load sends reads of different things with random keys to all VMs in turn, at a rate, until
// the returned function is called, which returns how many were answered with which status.
func (f *fleet) load(perSecond int, path string) (stop func() map[int]int) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 40, DisableCompression: true}}
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			front := f.vms[i%len(f.vms)].front
			wg.Go(func() {
				id, key := newID(), randomKey()
				status := get(&client, front, path+id, id, key)
				f.note("request %s, key %d, sent to %s: %d", id, key, front, status)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	})
	return func() map[int]int {
		cancel()
		wg.Wait()
		return statuses
	}
}

// get sends one read and returns the status, 0 for no answer.
func get(client *http.Client, front, path, id string, key int) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+front+path, nil)
	must(err)
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline", "1200")
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (f *fleet) noteLoad(statuses map[int]int) { f.note("load was answered: %s", fmt.Sprint(statuses)) }
