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

// ownerTries bounds how often an entry sends one request to the owner of its key. Repeats are safe, because the owner runs a
// key at most once.
const ownerTries = 2

// operationBytes bounds the body and the response of an at-most-once operation.
const operationBytes = operation.MaxBodyBytes

// issueKey answers a request on an at-most-once route that has no key. The issuing daemon is the owner, so that no daemon has
// to know the incarnation of another one.
func (e *Entry) issueKey(w http.ResponseWriter, c *call) error {
	if e.leaving() {
		return errkind.New(errkind.Draining, "this daemon is leaving and issues no operation keys")
	}
	key, err := operation.NewKey(time.Now(), e.vm, e.incarnation, rand.Reader)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "no operation key could be made")
	}
	w.Header().Set(forward.HeaderOperationKey, key.String())
	return operation.KeyMissing.Error("route " + c.route.PathPrefix + " of the contract of " + c.customer.Name + " runs at most once")
}

// operate serves a request on an at-most-once route.
func (e *Entry) operate(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) error {
	text := r.Header.Get(forward.HeaderIdempotencyKey)
	if text == "" {
		return e.issueKey(w, c)
	}
	key, err := operation.ParseKey(text)
	if err != nil {
		return operation.KeyMalformed.Error(err.Error())
	}
	body, release, err := e.readOperation(c.body)
	if err != nil {
		return err
	}
	defer release()
	if key.Owner == e.vm {
		return e.operateHere(ctx, w, r, c, key, body)
	}
	return e.operateRemote(ctx, w, r, c, key, body)
}

// readOperation reads the whole body within the memory budget for operations.
func (e *Entry) readOperation(u *upload) (body []byte, release func(), err error) {
	if u.buffered {
		if refused := e.uploads.Take(0, int64(len(u.whole))); refused != nil {
			return nil, nil, refused
		}
		return u.whole, func() { e.uploads.Give(int64(len(u.whole))) }, nil
	}
	if refused := e.uploads.Take(0, operationBytes); refused != nil {
		return nil, nil, refused
	}
	release = func() { e.uploads.Give(operationBytes) }
	reader := u.reader()
	body, err = io.ReadAll(io.LimitReader(reader, operationBytes+1))
	switch {
	case errors.Is(err, errTooLarge):
		err = u.tooLarge()
	case err != nil:
		err = errkind.Wrap(errkind.RequestBroken, err, "the request body was cut")
	case len(body) > operationBytes:
		err = operation.BodyTooLarge.Error("the body is larger than " + strconv.Itoa(operationBytes) + " bytes")
	}
	if err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

func (e *Entry) operateHere(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, key operation.Key, body []byte) error {
	response, replayed, err := e.runOwned(ctx, r, c, key, body)
	if err != nil {
		return err
	}
	writeOperation(w, response, replayed)
	_, err = w.Write(response.Body)
	return brokenCaller(err)
}

// brokenCaller aborts the response when the caller is gone.
func brokenCaller(err error) error {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func writeOperation(w http.ResponseWriter, response *operation.Response, replayed bool) {
	forward.CopyHeaders(w.Header(), response.Header)
	w.Header().Set(forward.HeaderOutcome, errkind.Answered.String())
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	if replayed {
		w.Header().Set(forward.HeaderReplayed, "true")
	}
	w.WriteHeader(response.Status)
}

// operateRemote sends the request to the owner of its key. "Not run" is passed on only when every send ended so, because a send
// whose end is unknown may still reach the owner.
func (e *Entry) operateRemote(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, key operation.Key, body []byte) error {
	owner := e.snapshot().VM(key.Owner)
	if owner == nil || owner.PeerAddress == "" {
		return operation.OwnerUnknown.Error("VM " + key.Owner + " of the operation key is not in the configuration")
	}
	var last error
	uncertain := false
	for number := 1; number <= ownerTries; number++ {
		t := &try{
			call: c, address: owner.PeerAddress, vm: owner.ID, toOwner: true, ownerBody: body, entry: e, number: number,
			crossed: e.crossing(c.service.Name, owner),
		}
		last = t.do(ctx, e.transport, r)
		if last == nil {
			defer t.end()
			t.pass(w)
			return nil
		}
		e.logFailure(ctx, t, last)
		kind := errkind.Of(last)
		if kind != errkind.PathBroken && kind != errkind.HomeUnreachable {
			break
		}
		uncertain = uncertain || kind == errkind.PathBroken
		if ctx.Err() != nil {
			break
		}
	}
	return ownerError(last, uncertain, owner.ID)
}

// ownerError turns the end of the last send into what the caller may be told about the operation.
func ownerError(err error, uncertain bool, owner string) error {
	switch kind := errkind.Of(err); {
	case kind == errkind.HomeUnreachable:
		return operation.OwnerUnreachable.Error("no connection to VM " + owner)
	case kind == errkind.PathBroken:
		return operation.OwnerLost.Error("the connection to VM " + owner + " broke")
	case uncertain && kind.Answer().Outcome == errkind.NotRun:
		return errkind.Wrap(errkind.PathBroken, err, "an earlier send of this request may still run")
	default:
		return err
	}
}

// ServeOperation handles a request that another entry sends to this daemon as the owner of the key.
func (e *Entry) ServeOperation(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
	w.Header().Set(forward.HeaderVM, e.vm)
	response, replayed, err := e.ownerResponse(r)
	if err != nil {
		writeError(w, err)
		return
	}
	forward.DeclareTrailers(w.Header())
	writeOperation(w, response, replayed)
	if _, err := forward.CopyResponse(w, bytes.NewReader(response.Body)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) ownerResponse(r *http.Request) (*operation.Response, bool, error) {
	key, err := operation.ParseKey(r.Header.Get(forward.HeaderOperation))
	if err != nil {
		return nil, false, operation.KeyMalformed.Error(err.Error())
	}
	c, err := e.ownerCall(r)
	if err != nil {
		return nil, false, err
	}
	body, release, err := e.readOperation(c.body)
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

// ownerCall finds the contract that the sending entry has already applied.
func (e *Entry) ownerCall(r *http.Request) (*call, error) {
	snapshot := e.snapshot()
	if snapshot == nil {
		return nil, errkind.New(errkind.NoConfiguration, "this daemon has no configuration yet")
	}
	customer := snapshot.Customer(r.Header.Get(forward.HeaderCustomer))
	if customer == nil {
		return nil, errkind.New(errkind.NoRoute, "this daemon has no contract of the customer")
	}
	route := customer.Route(r.URL.Path)
	if route == nil || !route.AtMostOnce {
		return nil, errkind.New(errkind.NoRoute, "the route does not run at most once by the contract in force here")
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
		id: r.Header.Get(forward.HeaderRequestID), customer: customer, route: route, service: service, body: body,
		origin: forward.ReceivedOrigin(r.Header),
	}, nil
}

// operationKeys answers POST /.cowslip/operation-keys?path=PATH with a key for an at-most-once route.
func (e *Entry) operationKeys(w http.ResponseWriter, r *http.Request) {
	path, err := url.PathUnescape(r.URL.Query().Get("path"))
	if err != nil || path == "" {
		writeError(w, errkind.New(errkind.BadRequest, "the query needs path=PATH, the path of the operation"))
		return
	}
	c, err := e.identify(r, path)
	if err != nil {
		writeError(w, err)
		return
	}
	if !c.route.AtMostOnce {
		writeError(w, errkind.New(errkind.BadRequest, "route "+c.route.PathPrefix+" does not run at most once; it needs no key"))
		return
	}
	err = e.issueKey(w, c)
	if errkind.Of(err) != errkind.KeyRequired {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}
