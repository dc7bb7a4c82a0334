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

// runOwned decides by the memory of this daemon, which the key names as its owner, and runs the operation at most once.
func (e *Entry) runOwned(ctx context.Context, r *http.Request, c *call, key operation.Key, body []byte) (*operation.Response, bool, error) {
	request := operation.Request{Customer: c.customer.Name, Route: c.route.PathPrefix, Key: key, Body: operation.DigestOf(requestImage(r, body))}
	for {
		d := e.memory.Begin(time.Now(), request)
		switch d.Action {
		case operation.Run:
			return e.runOnce(ctx, r, c, d.Ticket, body)
		case operation.Replay:
			return d.Response, true, nil
		case operation.ReplayDigest:
			return nil, false, notRecorded(d.Response)
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

func notRecorded(response *operation.Response) error {
	return errkind.New(errkind.AnswerNotRecorded, fmt.Sprintf(
		"the operation ran and the backend server answered with status %d and at least %d bytes, which are too many to keep", response.Status, response.BodyLength))
}

// requestImage is what a key is bound to besides customer and route: method, path, query and body.
func requestImage(r *http.Request, body []byte) []byte {
	var image bytes.Buffer
	fmt.Fprintf(&image, "%s %q ", r.Method, r.URL.RequestURI())
	image.Write(body)
	return image.Bytes()
}

// runOnce runs the operation. The run does not end with the caller's connection, so that a repeat can learn how it ended.
func (e *Entry) runOnce(ctx context.Context, r *http.Request, c *call, ticket operation.Ticket, body []byte) (*operation.Response, bool, error) {
	result := operation.Result{Outcome: errkind.Unknown, Kind: errkind.Internal}
	// A panic must not leave the key in the running state for ever.
	defer func() { e.memory.Finish(time.Now(), ticket, result) }()
	runCtx := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		runCtx, cancel = context.WithDeadline(runCtx, deadline)
		defer cancel()
	}
	run := *c
	run.repeatable = false
	run.body = &upload{whole: body, buffered: true, length: int64(len(body)), limit: c.body.limit, customer: c.customer.Name}
	t, err := e.tries(runCtx, r, &run)
	if err != nil {
		answer := errkind.Of(err).Answer()
		result = operation.Result{Outcome: answer.Outcome, Kind: errkind.Of(err)}
		return nil, false, err
	}
	defer t.end()
	response, err := recordResponse(t)
	if err != nil {
		e.logCut(t, err)
		result = operation.Result{Outcome: errkind.Unknown, Kind: errkind.Of(err)}
		return nil, false, err
	}
	result = operation.Result{Outcome: errkind.Answered, Response: response}
	if !response.Recorded {
		return nil, false, notRecorded(response)
	}
	return response, false, nil
}

// recordResponse reads the whole response of an operation into memory. A larger one is not recorded, and its status is kept.
func recordResponse(t *try) (*operation.Response, error) {
	body, err := io.ReadAll(io.LimitReader(t.body, operationBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.PathBroken, err, "the response was cut between daemons")
	}
	if len(body) > operationBytes {
		return &operation.Response{Status: t.response.StatusCode, BodyLength: int64(len(body))}, nil
	}
	return &operation.Response{Status: t.response.StatusCode, Header: t.response.Header, Body: body, Recorded: true}, nil
}
