package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/operation"
)

// runOwned serves an operation whose key names this daemon as its owner. The memory decides whether
// to run the operation, to replay its response, or to wait for a run in progress, so it runs at
// most once. The second result is true for a replayed response.
func (e *Entry) runOwned(ctx context.Context, r *http.Request, c *call, key operation.Key, body []byte) (*operation.Response, bool, error) {
	request := operation.Request{Customer: c.customer.Name, Route: c.route.PathPrefix, Key: key, Body: operation.DigestOf(boundContent(r, body))}
	for {
		d := e.memory.Begin(time.Now(), request)
		switch d.Action {
		case operation.Run:
			return e.runOnce(ctx, r, c, d.Ticket, body)
		case operation.Replay:
			return d.Response, true, nil
		case operation.ReplayDigest:
			return nil, false, notRecordedError(d.Response)
		case operation.Wait:
			select {
			case <-d.Done:
			case <-ctx.Done():
				return nil, false, operation.StillRunning.Error("an earlier request with this key is still running")
			}
		default:
			return nil, false, d.Err
		}
	}
}

// notRecordedError returns the error for an operation that ran, but whose response was too large to
// keep.
func notRecordedError(response *operation.Response) error {
	return errkind.New(errkind.AnswerNotRecorded, fmt.Sprintf(
		"the operation ran, and the backend server responded with status %d and at least %d bytes, which is too large to keep", response.Status, response.BodyLength))
}

// boundContent returns the parts of a request that a key is bound to besides customer and route:
// method, path, query and body.
func boundContent(r *http.Request, body []byte) []byte {
	var content bytes.Buffer
	fmt.Fprintf(&content, "%s %q ", r.Method, r.URL.RequestURI())
	content.Write(body)
	return content.Bytes()
}

// runOnce runs the operation. The run goes on if the caller disconnects, so that a later request
// with the same key can learn how it ended.
func (e *Entry) runOnce(ctx context.Context, r *http.Request, c *call, ticket operation.Ticket, body []byte) (*operation.Response, bool, error) {
	result := operation.Result{Outcome: errkind.Unknown, Kind: errkind.Internal}
	// A panic must not leave the key in the running state forever.
	defer func() { e.memory.Finish(time.Now(), ticket, result) }()
	runCtx := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		runCtx, cancel = context.WithDeadline(runCtx, deadline)
		defer cancel()
	}
	run := *c
	run.repeatable = false
	run.body = &upload{content: body, buffered: true, length: int64(len(body)), limit: c.body.limit, customer: c.customer.Name}
	t, err := e.sendWithRetries(runCtx, r, &run)
	if err != nil {
		answer := errkind.Of(err).Answer()
		result = operation.Result{Outcome: answer.Outcome, Kind: errkind.Of(err)}
		return nil, false, err
	}
	defer t.close()
	response, err := recordResponse(t)
	if err != nil {
		e.logCutResponse(t, err)
		result = operation.Result{Outcome: errkind.Unknown, Kind: errkind.Of(err)}
		return nil, false, err
	}
	result = operation.Result{Outcome: errkind.Answered, Response: response}
	if !response.Recorded {
		return nil, false, notRecordedError(response)
	}
	return response, false, nil
}

// recordResponse reads the whole response of an operation into memory. If it is larger than
// maxOperationBytes, only its status is kept.
func recordResponse(t *try) (*operation.Response, error) {
	body, err := io.ReadAll(io.LimitReader(t.body, maxOperationBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.PathBroken, err, "the connection to the daemon broke during its response")
	}
	if len(body) > maxOperationBytes {
		return &operation.Response{Status: t.response.StatusCode, BodyLength: int64(len(body))}, nil
	}
	return &operation.Response{Status: t.response.StatusCode, Header: t.response.Header, Body: body, Recorded: true}, nil
}
