package target

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
)

// Headers of the target protocol and of this stand-in.
const (
	HeaderRequestID     = "Mangogate-Request-Id"
	HeaderShard         = "Mangogate-Shard"
	HeaderFence         = "Mangogate-Fence"
	HeaderDispatchEpoch = "Mangogate-Dispatch-Epoch"
	HeaderDeadline      = "Mangogate-Deadline-Ms" // milliseconds left until the sender's deadline
	HeaderNotRun        = "Mangogate-Not-Run"
	HeaderIdempotency   = "Idempotency-Key"
	HeaderTarget        = "X-Target"
	HeaderBootID        = "X-Boot-Id"
	HeaderAnswerBytes   = "X-Answer-Bytes" // size of Answer.Padding in bytes
	HeaderTag           = "X-Tag"          // echoed in Answer.Tag, so that callers can match answers to requests
)

// Values of HeaderNotRun: why a request was not executed. The design page
// defines the first four.
const (
	NotRunShed      = "shed"
	NotRunFence     = "fence"
	NotRunNotOwner  = "not-owner"
	NotRunDraining  = "draining"
	NotRunDeadline  = "deadline"
	NotRunCancelled = "cancelled"
)

const (
	maxBodyBytes    = 16 << 20
	maxPaddingBytes = 16 << 20
)

// request is a request in flight.
type request struct {
	id, key, method, idempotencyKey, tag string
	shard                                int // -1 when the header is missing
	fence, epoch                         uint64
	deadline                             time.Time // zero means none
	paddingBytes                         int
	crash                                bool
	bodyHash                             string
	boot                                 *boot
	start                                time.Time
	started                              bool          // set once the request counts as running; not used
	cancelled                            chan struct{} // closed by a cancellation
	isCancelled                          bool
}

func (s *Server) parse(r *http.Request) (*request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	req := &request{id: r.Header.Get(HeaderRequestID), key: s.keyOf(r), method: r.Method, shard: -1,
		idempotencyKey: r.Header.Get(HeaderIdempotency), tag: r.Header.Get(HeaderTag), bodyHash: hex.EncodeToString(sum[:]),
		crash: r.Header.Get(s.cfg.CrashHeader) == "1", cancelled: make(chan struct{})}
	if req.fence, err = uintHeader(r, HeaderFence); err != nil {
		return nil, err
	}
	if req.epoch, err = uintHeader(r, HeaderDispatchEpoch); err != nil {
		return nil, err
	}
	if text := r.Header.Get(HeaderShard); text != "" {
		if req.shard, err = strconv.Atoi(text); err != nil {
			return nil, err
		}
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return nil, err
		}
		req.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	padding, err := uintHeader(r, HeaderAnswerBytes)
	req.paddingBytes = int(min(padding, maxPaddingBytes))
	return req, err
}

func uintHeader(r *http.Request, name string) (uint64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (s *Server) keyOf(r *http.Request) string {
	rule := inventory.Rule{KeyHeader: s.cfg.KeyHeader, KeyTemplate: s.cfg.KeyTemplate}
	if key, ok := rule.Key(r.URL.Path, r.Header.Get(s.cfg.KeyHeader)); ok {
		return key
	}
	return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
}

func (r *request) isRead() bool { return r.method == http.MethodGet || r.method == http.MethodHead }

func (r *request) expired(now time.Time) bool { return !r.deadline.IsZero() && !now.Before(r.deadline) }

// requestStage is the stage of a request at which its ownership is checked.
type requestStage int

const (
	beforeStart requestStage = iota
	beforeEffect
)

// checkOwnership returns why the target must not execute a request, or "". Before
// the start it also checks and raises the dispatch epoch, the only check for pool
// ownership. A shard that the last grant omitted accepts no new requests, but its
// running requests may take effect until the lease expires.
func (s *Server) checkOwnership(req *request, stage requestStage) string {
	if !s.cfg.ChecksFences {
		return ""
	}
	g := &req.boot.grants
	if stage == beforeStart {
		if req.epoch < g.epoch {
			return NotRunFence
		}
		g.epoch = req.epoch
	}
	if s.cfg.Ownership == inventory.OwnershipPool {
		return ""
	}
	g.dropExpiredAndReleased(s.cfg.Clock())
	h := g.held[req.shard]
	switch {
	case h == nil, h.releasing && stage == beforeStart:
		return NotRunNotOwner
	case h.fence != req.fence:
		return NotRunFence
	}
	return ""
}
