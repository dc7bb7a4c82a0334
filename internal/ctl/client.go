package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
)

// DefaultAdminAddress is the admin listener that commands call when no flag names one.
const DefaultAdminAddress = "127.0.0.1:7002"

// DefaultClientTimeout bounds one call to a daemon. An admin listener responds from memory within
// milliseconds.
const DefaultClientTimeout = 5 * time.Second

// maxResponseBytes bounds the body of one response that a command keeps in memory.
const maxResponseBytes = 16 << 20

// client calls the admin API of one daemon. It is safe for concurrent use.
type client struct {
	address string
	timeout time.Duration
	http    *http.Client
}

func newClient(address string, timeout time.Duration) *client {
	return &client{address: address, timeout: timeout, http: &http.Client{
		Timeout: timeout,
		// net/http would follow a redirect with a GET, whose response says nothing about the order.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// unreachableError means that the daemon did not respond. Commands then exit with ExitUnreachable.
type unreachableError struct {
	address string
	reason  string
	// timeout is true when the call timed out, so that a daemon may still run at the address.
	timeout bool
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no response from the daemon at %s: %s; check that cowsliprund runs there and that this is its admin listener", e.address, e.reason)
}

// refusedError means that the daemon responded with a status other than 2xx.
type refusedError struct {
	address, method, path string
	status                int
	body                  string
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("the daemon at %s refused %s %s with status %d: %.200s", e.address, e.method, e.path, e.status, e.body)
}

// isNotFound reports whether the daemon responded with status 404.
func isNotFound(err error) bool {
	var refused *refusedError
	return errors.As(err, &refused) && refused.status == http.StatusNotFound
}

// exitStatusOf returns the exit status of a command for an error of a client, which may be nil.
func exitStatusOf(err error) int {
	var unreachable *unreachableError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &unreachable):
		return ExitUnreachable
	default:
		return ExitUsage
	}
}

// getJSON sends a GET request and decodes the response into out.
func (c *client) getJSON(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// sendJSON sends in as the body of a request and decodes the response into out, unless out is nil.
func (c *client) sendJSON(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.call(ctx, method, path, body, out)
}

// call sends one request. It returns an unreachableError without a response, a refusedError for a
// status other than 2xx, and other errors for a bad address or a response that can't be used.
func (c *client) call(ctx context.Context, method, path string, in []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("cannot send a request to the daemon at %q: %w", c.address, err)
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if host, _, err := net.SplitHostPort(c.address); err == nil && net.ParseIP(host) == nil {
		request.Host = "localhost" // the admin listener rejects other host names as DNS rebinding
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.unreachable(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return c.unreachable(err)
	case len(body) > maxResponseBytes:
		return fmt.Errorf("the daemon at %s sent more than %d bytes for %s", c.address, maxResponseBytes, path)
	case response.StatusCode/100 != 2:
		return &refusedError{c.address, method, path, response.StatusCode, strings.TrimSpace(string(body))}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("the daemon at %s sent a response to %s that cowslipctl cannot decode, is it another version? %w", c.address, path, err)
	}
	return nil
}

// unreachable converts an error of net/http to its cause, without the method and URL that it
// repeats.
func (c *client) unreachable(err error) *unreachableError {
	var timeout net.Error
	var system *os.SyscallError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return &unreachableError{c.address, fmt.Sprintf("timed out after %s", c.timeout), true}
	case errors.As(err, &system):
		return &unreachableError{c.address, system.Err.Error(), false}
	default:
		return &unreachableError{c.address, err.Error(), false}
	}
}
