package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/operation"
)

// maxOwnerTries bounds how often an entry sends one request to the owner of its key. Sending it
// again is safe, because the owner runs each key at most once.
const maxOwnerTries = 2

// maxOperationBytes bounds the body of an at-most-once operation, and the part of its response that
// is kept.
const maxOperationBytes = operation.MaxBodyBytes

// issueKey responds to a request on an at-most-once route without a key, with a new key. The
// issuing daemon becomes the owner of the key, so that no daemon has to know the incarnation of
// another one.
func (e *Entry) issueKey(w http.ResponseWriter, c *call) error {
	if e.leaving() {
		return errkind.New(errkind.Draining, "this daemon is leaving and issues no operation keys")
	}
	key, err := operation.NewKey(time.Now(), e.vm, e.incarnation, rand.Reader)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "cannot generate an operation key")
	}
	w.Header().Set(forward.HeaderOperationKey, key.String())
	return operation.KeyMissing.Error("route " + c.route.PathPrefix + " of the contract of " + c.customer.Name + " runs at most once")
}

// serveAtMostOnce serves a request on an at-most-once route.
func (e *Entry) serveAtMostOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) error {
	text := r.Header.Get(forward.HeaderIdempotencyKey)
	if text == "" {
		return e.issueKey(w, c)
	}
	key, err := operation.ParseKey(text)
	if err != nil {
		return operation.KeyMalformed.Error(err.Error())
	}
	var body []byte
	var release func()
	err = readInTime(ctx, w, func() (err error) {
		body, release, err = e.readOperationBody(c.body)
		return err
	})
	if err != nil {
		return err
	}
	defer release()
	start := time.Now()
	if key.Owner == e.vm {
		err = e.serveAsOwner(ctx, w, r, c, key, body)
	} else {
		err = e.sendToOwner(ctx, w, r, c, key, body)
	}
	if err == nil {
		e.observer.Answered(c.service.Name, time.Since(start), 1)
	}
	return err
}

// readOperationBody reads the whole body within the memory budget for operations. The caller must
// call release when the body is no longer used.
func (e *Entry) readOperationBody(u *upload) (body []byte, release func(), err error) {
	if u.buffered {
		if refused := e.operationBodies.Reserve(0, int64(len(u.content))); refused != nil {
			return nil, nil, refused
		}
		return u.content, func() { e.operationBodies.Release(int64(len(u.content))) }, nil
	}
	if refused := e.operationBodies.Reserve(0, maxOperationBytes); refused != nil {
		return nil, nil, refused
	}
	release = func() { e.operationBodies.Release(maxOperationBytes) }
	reader := u.reader()
	body, err = io.ReadAll(io.LimitReader(reader, maxOperationBytes+1))
	switch {
	case errors.Is(err, errTooLarge):
		err = u.tooLargeError()
	case err != nil:
		err = errkind.Wrap(errkind.RequestBroken, err, "reading the caller's request body failed")
	case len(body) > maxOperationBytes:
		err = operation.BodyTooLarge.Error("the body of the operation is larger than " + strconv.Itoa(maxOperationBytes) + " bytes")
	}
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

// serveAsOwner serves a caller's request whose key was issued by this daemon.
func (e *Entry) serveAsOwner(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, key operation.Key, body []byte) error {
	response, replayed, err := e.runOwned(ctx, r, c, key, body)
	if err != nil {
		return err
	}
	writeOperationHeader(w, response, replayed)
	_, err = w.Write(response.Body)
	return abortOnWriteError(err)
}

// abortOnWriteError aborts the response if writing it failed, because the caller is gone.
func abortOnWriteError(err error) error {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// writeOperationHeader sends the header of a recorded response. replayed tells the caller that an
// earlier request ran the operation.
func writeOperationHeader(w http.ResponseWriter, response *operation.Response, replayed bool) {
	forward.CopyHeaders(w.Header(), response.Header)
	w.Header().Set(forward.HeaderOutcome, errkind.Answered.String())
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	if replayed {
		w.Header().Set(forward.HeaderReplayed, "true")
	}
	w.WriteHeader(response.Status)
}

// sendToOwner sends the request to the owner of its key. The caller is told NotRun only if every
// send ended so, because a send with an unknown outcome may still reach the owner.
func (e *Entry) sendToOwner(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, key operation.Key, body []byte) error {
	owner := e.snapshot().VM(key.Owner)
	if owner == nil || owner.PeerAddress == "" {
		return operation.OwnerUnknown.Error("VM " + key.Owner + " of the operation key is not in the configuration")
	}
	var last error
	mayRun := false
	for number := 1; number <= maxOwnerTries; number++ {
		t := &try{
			call: c, address: owner.PeerAddress, vm: owner.ID, toOwner: true, ownerBody: body, entry: e, number: number,
			countCrossRegion: e.crossRegionCounter(c.service.Name, owner),
		}
		last = t.send(ctx, e.transport, r)
		if last == nil {
			defer t.close()
			t.writeResponse(w)
			return nil
		}
		e.logBrokenTry(ctx, t, last)
		kind := errkind.Of(last)
		if kind != errkind.PathBroken && kind != errkind.HomeUnreachable {
			break
		}
		mayRun = mayRun || kind == errkind.PathBroken
		if ctx.Err() != nil {
			break
		}
	}
	return ownerError(last, mayRun, owner.ID)
}

// ownerError turns the error of the last send into the error for the caller. mayRun is true if an
// earlier send has an unknown outcome.
func ownerError(err error, mayRun bool, owner string) error {
	switch kind := errkind.Of(err); {
	case kind == errkind.HomeUnreachable:
		return operation.OwnerUnreachable.Error("no connection to the owner of the operation key, VM " + owner)
	case kind == errkind.PathBroken:
		return operation.OwnerLost.Error("the connection to the daemon of VM " + owner + " broke")
	case mayRun && kind.Answer().Outcome == errkind.NotRun:
		return errkind.Wrap(errkind.PathBroken, err, "an earlier send of this request may still be running")
	default:
		return err
	}
}

// ServeOperation handles a request that another entry sends to this daemon as the owner of its key.
// It trusts the request's headers, so it must only be reachable for other daemons.
func (e *Entry) ServeOperation(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
	w.Header().Set(forward.HeaderVM, e.vm)
	response, replayed, err := e.runForEntry(r)
	if err != nil {
		writeError(w, err)
		return
	}
	forward.DeclareTrailers(w.Header())
	writeOperationHeader(w, response, replayed)
	if _, err := forward.CopyResponse(w, bytes.NewReader(response.Body)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// runForEntry runs the operation of a request that another entry sent, or replays its response. The
// second result is true for a replay.
func (e *Entry) runForEntry(r *http.Request) (*operation.Response, bool, error) {
	key, err := operation.ParseKey(r.Header.Get(forward.HeaderOperation))
	if err != nil {
		return nil, false, operation.KeyMalformed.Error(err.Error())
	}
	c, err := e.callFromEntry(r)
	if err != nil {
		return nil, false, err
	}
	body, release, err := e.readOperationBody(c.body)
	if err != nil {
		return nil, false, err
	}
	defer release()
	remaining, ok := forward.Deadline(r.Header)
	if !ok {
		remaining = c.route.Deadline
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	return e.runOwned(ctx, r, c, key, body)
}

// callFromEntry finds the contract for a request that another entry has already admitted.
func (e *Entry) callFromEntry(r *http.Request) (*call, error) {
	snapshot := e.snapshot()
	if snapshot == nil {
		return nil, errkind.New(errkind.NoConfiguration, "this daemon has no configuration yet")
	}
	customer := snapshot.Customer(r.Header.Get(forward.HeaderCustomer))
	if customer == nil {
		return nil, errkind.New(errkind.NoRoute, "this daemon's configuration has no contract of the customer")
	}
	route := customer.Route(r.URL.Path)
	if route == nil || !route.AtMostOnce {
		return nil, errkind.New(errkind.NoRoute, "the route is not an at-most-once route in the configuration of this daemon")
	}
	service := snapshot.Service(route.Service)
	if service == nil {
		return nil, errkind.New(errkind.NoBackend, "service "+route.Service+" is not in the configuration")
	}
	incoming := *r
	forward.ReceiveRequest(&incoming)
	body, err := newUpload(&incoming, customer)
	if err != nil {
		return nil, err
	}
	return &call{
		id: r.Header.Get(forward.HeaderRequestID), base: customer, identity: identity{customer: customer}, route: route, service: service, body: body,
		origin: forward.ReceivedOrigin(r.Header),
	}, nil
}

// handleOperationKeys responds to POST /.cowslip/operation-keys?path=PATH with a key for an
// at-most-once route.
func (e *Entry) handleOperationKeys(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(forward.HeaderRequestID, forward.NewRequestID())
	path, err := url.PathUnescape(r.URL.Query().Get("path"))
	if err != nil || path == "" {
		e.failRequest(w, errkind.New(errkind.BadRequest, "the query needs path=PATH, the path of the operation"))
		return
	}
	c, err := e.matchContract(r, e.dialect.ParseCaller(r.Header), path)
	if err != nil {
		e.failRequest(w, err)
		return
	}
	if !c.route.AtMostOnce {
		e.failRequest(w, errkind.New(errkind.BadRequest, "route "+c.route.PathPrefix+" is not an at-most-once route and needs no operation key"))
		return
	}
	err = e.issueKey(w, c)
	if errkind.Of(err) != errkind.KeyRequired {
		e.failRequest(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}
