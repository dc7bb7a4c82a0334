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

// DefaultAdminAddress is the admin listener that the online commands ask when none is named.
const DefaultAdminAddress = "127.0.0.1:7002"

// DefaultClientTimeout bounds one call to a daemon. An admin listener responds from memory within milliseconds.
const DefaultClientTimeout = 5 * time.Second

// maxResponseBytes bounds what a command keeps of one response.
const maxResponseBytes = 16 << 20

// client calls the admin listener of a daemon.
type client struct {
	address string
	timeout time.Duration
	http    *http.Client
}

func newClient(address string, timeout time.Duration) *client {
	return &client{address: address, timeout: timeout, http: &http.Client{Timeout: timeout}}
}

// unreachableError means that the daemon did not respond. Commands end with StatusUnreachable then.
type unreachableError struct {
	address string
	reason  string
	// timeout is true when something may still be there, but did not respond in time.
	timeout bool
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no response from the daemon at %s: %s; check that cowsliprund runs there and that this is its admin listener", e.address, e.reason)
}

// refusedError means that the daemon responded with a status other than success.
type refusedError struct {
	address, method, path string
	status                int
	body                  string
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("the daemon at %s refused %s %s with status %d: %.200s", e.address, e.method, e.path, e.status, e.body)
}

// isNotFound reports whether the daemon responded that it does not know the subject.
func isNotFound(err error) bool {
	var refused *refusedError
	return errors.As(err, &refused) && refused.status == http.StatusNotFound
}

// exitStatusOf returns the exit status for an error of the client.
func exitStatusOf(err error) int {
	var unreachable *unreachableError
	switch {
	case err == nil:
		return StatusOK
	case errors.As(err, &unreachable):
		return StatusUnreachable
	default:
		return StatusUsage
	}
}

// getJSON requests a path and decodes the response into out.
func (c *client) getJSON(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// sendJSON asks the daemon to act and decodes the response into out, unless out is nil.
func (c *client) sendJSON(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.call(ctx, method, path, body, out)
}

func (c *client) call(ctx context.Context, method, path string, in []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("the address %q cannot be used: %w", c.address, err)
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if host, _, err := net.SplitHostPort(c.address); err == nil && net.ParseIP(host) == nil {
		request.Host = "localhost" // the listener refuses other names, because a web page could use them; a tool may choose
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
		return fmt.Errorf("the daemon at %s sent for %s what cowslipctl cannot read, is it another version? %w", c.address, path, err)
	}
	return nil
}

// unreachable shortens an error of net/http, which repeats method and URL.
func (c *client) unreachable(err error) *unreachableError {
	var timeout net.Error
	var system *os.SyscallError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return &unreachableError{c.address, fmt.Sprintf("nothing within %s", c.timeout), true}
	case errors.As(err, &system):
		return &unreachableError{c.address, system.Err.Error(), false}
	default:
		return &unreachableError{c.address, err.Error(), false}
	}
}
