package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// MaxValueBytes is the largest accepted size of a value.
	MaxValueBytes = 1 << 20
	// maxListBytes is the largest accepted size of the lists of changes and VMs. 1,200 VMs or 600
	// values take about 60 KB.
	maxListBytes = 1 << 20
	// maxHeadBytes bounds the head of a response. net/http allows 10 MB by default.
	maxHeadBytes = 64 << 10
	// DefaultTimeout is the timeout of a call, in addition to the wait of a watch. The platform
	// normally responds within milliseconds.
	DefaultTimeout = 3 * time.Second
)

// Options configure a Client.
type Options struct {
	// BaseURL is the URL of the platform without a trailing slash, such as http://127.0.0.1:7400.
	BaseURL string
	// Timeout limits each call, in addition to the wait of a watch. Default: DefaultTimeout.
	Timeout time.Duration
	// DialContext opens connections. Default: a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Value is one value of the configuration service.
type Value struct {
	Name     string
	Revision uint64
	Data     []byte
}

// Change names a value and the revision at which it last changed.
type Change struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// Changes is the response to a watch. Revision is that of the platform's store. It is lower than
// the revision asked for if the platform serves an old state or was restored from a backup.
type Changes struct {
	Revision uint64   `json:"revision"`
	Changed  []Change `json:"changed"`
}

// VM is one entry of the list of VMs. State is "live" or "leaving".
type VM struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// VMList is the list of VMs. It can be out of date: VMs may have been added or removed since.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// Client calls the platform's HTTP API. It is safe for concurrent use. Its methods return errors of
// type *Error.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
	calls   atomic.Uint64
}

// New returns a client. It opens no connection until the first call.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         opts.DialContext,
		MaxIdleConnsPerHost: 2,
		MaxConnsPerHost:     4,
		IdleConnTimeout:     90 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{baseURL: opts.BaseURL, timeout: opts.Timeout, http: &http.Client{
		Transport: transport,
		// A redirect is no response of the platform.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Calls returns the number of requests sent, including failed ones. A watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close closes idle connections. Calls in progress are not interrupted.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Value reads one value. The error is of the kind NotFound if the platform has no value of that
// name.
func (c *Client) Value(ctx context.Context, name string) (Value, error) {
	call := "/v1/value?name=" + url.QueryEscape(name)
	data, header, err := c.get(ctx, call, c.timeout, MaxValueBytes)
	if err != nil {
		return Value{}, err
	}
	revision, err := strconv.ParseUint(header.Get("Revision"), 10, 64)
	if err != nil || revision == 0 {
		return Value{}, &Error{Malformed, call, errors.New("header Revision is missing or not a positive number")}
	}
	return Value{name, revision, data}, nil
}

// Changes returns the values that changed after a revision. If there are none, it waits for up to
// wait for the first change.
func (c *Client) Changes(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	var changes Changes
	err := c.getJSON(ctx, fmt.Sprintf("/v1/changes?after=%d&wait=%s", after, wait), wait+c.timeout, &changes)
	return changes, err
}

// VMs reads the list of VMs.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	var list VMList
	err := c.getJSON(ctx, "/v1/vms", c.timeout, &list)
	return list, err
}

func (c *Client) getJSON(ctx context.Context, call string, timeout time.Duration, out any) error {
	data, _, err := c.get(ctx, call, timeout, maxListBytes)
	if err != nil {
		return err
	}
	// Without a revision it is another JSON value, such as null.
	var required struct{ Revision *uint64 }
	if err := errors.Join(json.Unmarshal(data, &required), json.Unmarshal(data, out)); err != nil {
		return &Error{Malformed, call, err}
	}
	if required.Revision == nil {
		return &Error{Malformed, call, errors.New("the response has no revision")}
	}
	return nil
}

func (c *Client) get(ctx context.Context, call string, timeout time.Duration, maxBytes int64) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+call, nil)
	if err != nil {
		return nil, nil, &Error{Malformed, call, err}
	}
	c.calls.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, &Error{Unreachable, call, err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	switch {
	case response.StatusCode == http.StatusNotFound:
		return nil, nil, &Error{Kind: NotFound, Call: call}
	case response.StatusCode != http.StatusOK:
		return nil, nil, &Error{BadStatus, call, errors.New(response.Status)}
	case err != nil:
		return nil, nil, &Error{Unreachable, call, err}
	case int64(len(data)) > maxBytes:
		return nil, nil, &Error{Kind: TooLarge, Call: call}
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed:
		return nil, nil, &Error{Malformed, call, errors.New("the response has neither a length nor chunks, so it may be cut")}
	}
	return data, response.Header, nil
}
