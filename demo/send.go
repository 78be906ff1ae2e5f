package demo

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// job is one request to send. service is empty for a request to a model, and model is empty
// for a call of a plain service.
type job struct {
	// number is the number of the job, which is part of its request ID.
	number int
	// startAfter is the time of the request after the start of the burst.
	startAfter time.Duration
	// routerIndex is the index of the router to send the request to.
	routerIndex int
	model       fleet.ModelID
	service     fleet.ServiceID
	stream      bool
}

// result is the outcome of a job.
type result struct {
	job job
	// id is the request ID in the response header.
	id     fleet.RequestID
	status int
	// code, notRun and detail are the fields of the problem if the request was refused.
	code   fleet.Code
	notRun fleet.NotRun
	detail string
	answer string
	// complete reports whether the whole answer was received.
	complete bool
	// ttfb is the time to the first byte of the body, duration the time to its end.
	ttfb     time.Duration
	duration time.Duration
	// patience is the longest time that a caller of this kind waits.
	patience time.Duration
	// idempotent reports whether the records declare the kind of the request as idempotent.
	idempotent bool
	err        error
}

// patienceSlack is the additional time allowed for sending the request and receiving the
// answer.
const patienceSlack = 500 * time.Millisecond

// answerTokens is the number of tokens in each answer.
const answerTokens = 20

type completionRequest struct {
	Model     fleet.ModelID `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// problem is the response body of a refusal.
type problem struct {
	Code   fleet.Code   `json:"code"`
	NotRun fleet.NotRun `json:"not-run"`
	Detail string       `json:"detail"`
}

// send sends the request of a job to a router as a caller does, and reads the answer.
func (f *Fleet) send(ctx context.Context, j job) result {
	kind := f.requestKind(j)
	res := result{job: j, patience: kind.Patience, idempotent: kind.Idempotent}
	req, err := f.newRequest(ctx, j)
	if err != nil {
		res.err = err
		return res
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	res.id = fleet.RequestID(resp.Header.Get("X-Request-Id"))
	body := ttfbReader{r: resp.Body, began: began}
	raw, err := io.ReadAll(&body)
	res.ttfb, res.duration, res.err = body.ttfb, time.Since(began), err
	res.parseBody(raw)
	return res
}

// parseBody sets the fields of the result that depend on the body of the answer.
func (r *result) parseBody(raw []byte) {
	if r.status != http.StatusOK {
		var p problem
		if err := json.Unmarshal(raw, &p); err != nil {
			r.err = errors.Join(r.err, fmt.Errorf("read refusal: %w", err))
		}
		r.code, r.notRun, r.detail = p.Code, p.NotRun, p.Detail
		return
	}
	r.answer = string(raw)
	r.complete = r.err == nil
	if r.job.stream {
		r.complete = r.complete && strings.HasSuffix(strings.TrimSpace(r.answer), "data: [DONE]")
	}
}

// newRequest returns the HTTP request of a job.
func (f *Fleet) newRequest(ctx context.Context, j job) (*http.Request, error) {
	path := "/v1/completions"
	payload := any(completionRequest{Model: j.model, Prompt: j.prompt(), MaxTokens: answerTokens, Stream: j.stream})
	if j.service != "" {
		path = "/services/" + string(j.service) + "/confirm"
		payload = struct {
			Booking int `json:"booking"`
		}{Booking: j.number}
	}
	raw, err := json.Marshal(payload)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	url := "http://" + f.RouterAddrs[j.routerIndex].String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Kind", string(f.requestKind(j).ID))
	req.Header.Set("X-Request-Id", "job-"+strconv.Itoa(j.number))
	return req, nil
}

// prompt returns a prompt that is unique to the job.
func (j job) prompt() string { return fmt.Sprintf("notice number %d for %s", j.number, j.model) }

// requestKind returns the kind of a job's request: the default kind of its model or service
// or, if there is none, the idempotent kind with the lowest ID, or the kind with the lowest
// ID if none is idempotent.
func (f *Fleet) requestKind(j job) record.Kind {
	id := f.Config.Services[j.service].Kind
	if j.service == "" {
		id = f.Config.Models[j.model].DefaultKind
	}
	if kind, ok := f.Config.Kinds[id]; ok {
		return kind
	}
	kinds := slices.SortedFunc(maps.Values(f.Config.Kinds), func(a, b record.Kind) int { return cmp.Compare(a.ID, b.ID) })
	i := slices.IndexFunc(kinds, func(k record.Kind) bool { return k.Idempotent })
	return kinds[max(i, 0)]
}

// ttfbReader is a reader that records the time to the first byte since began.
type ttfbReader struct {
	r     io.Reader
	began time.Time
	ttfb  time.Duration
}

// Read implements io.Reader.
func (b *ttfbReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 && b.ttfb == 0 {
		b.ttfb = time.Since(b.began)
	}
	return n, err
}
