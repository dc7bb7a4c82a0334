package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no response from the daemon at %s: %s; check that cowsliprund runs there and that this is its admin listener", e.address, e.reason)
}

// statusOf returns the exit status for an error of the client.
func statusOf(err error) int {
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
	return c.call(ctx, http.MethodGet, path, out)
}

// postJSON asks the daemon to act and decodes the response into out.
func (c *client) postJSON(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodPost, path, out)
}

func (c *client) call(ctx context.Context, method, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return fmt.Errorf("the address %q cannot be used: %w", c.address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &unreachableError{c.address, c.reason(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return &unreachableError{c.address, c.reason(err)}
	case len(body) > maxResponseBytes:
		return fmt.Errorf("the daemon at %s sent more than %d bytes for %s", c.address, maxResponseBytes, path)
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("the daemon at %s refused %s %s with status %d: %.200s", c.address, method, path, response.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("the daemon at %s sent for %s what cowslipctl cannot read, is it another version? %w", c.address, path, err)
	}
	return nil
}

// reason shortens an error of net/http, which repeats method and URL.
func (c *client) reason(err error) string {
	var timeout net.Error
	var system *os.SyscallError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Sprintf("nothing within %s", c.timeout)
	case errors.As(err, &system):
		return system.Err.Error()
	default:
		return err.Error()
	}
}
