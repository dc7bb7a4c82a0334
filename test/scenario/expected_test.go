package scenario

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// outcomeUnsent is the outcome that the tests record for a request that never left the caller. The
// system itself does not report it.
const outcomeUnsent = "unsent"

// expectation is a request with the data that its response must contain.
type expectation struct {
	method, path, echo, body, operationKey string
}

// request returns a new request. The sender sets its scheme, host and API key.
func (e expectation) request() *http.Request {
	req, err := http.NewRequest(e.method, "http://unset"+e.path, strings.NewReader(e.body))
	if err != nil {
		panic(err) // the loads build only valid paths
	}
	req.Header.Set("X-Echo", e.echo)
	req.Header.Set("X-Operation", e.echo)
	if e.operationKey != "" {
		req.Header.Set(forward.HeaderIdempotencyKey, e.operationKey)
	}
	return req
}

// evaluate records the response in a. A response that ends without an error must be the whole
// response to this request, or an error of the system that states an outcome; otherwise
// a.violation says why not.
func (e expectation) evaluate(resp *http.Response, a *attempt) {
	a.status = resp.StatusCode
	a.errorKind = resp.Header.Get(forward.HeaderErrorKind)
	a.operationKey = resp.Header.Get(forward.HeaderOperationKey)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err.Error() // callers can detect the broken response
		return
	}
	a.body = body
	a.outcome = resp.Header.Get(forward.HeaderOutcome)
	switch a.outcome {
	case errkind.Answered.String():
		if resp.StatusCode == http.StatusOK {
			a.violation = e.mismatch(resp, body)
		}
	case errkind.NotRun.String(), errkind.Unknown.String(), errkind.Ran.String():
		if !strings.HasPrefix(string(body), a.errorKind) || !strings.HasSuffix(string(body), "(outcome "+a.outcome+")\n") {
			a.violation = fmt.Sprintf("the error text %q does not match error kind %s and outcome %s", body, a.errorKind, a.outcome)
		}
	default:
		a.violation = fmt.Sprintf("the response has the unknown outcome %q", a.outcome)
		a.outcome = "unknown"
	}
}

// mismatch returns how a response differs from the request, or from the digest that the backend
// server computed before it sent the body. It returns an empty string if they match.
func (e expectation) mismatch(resp *http.Response, body []byte) string {
	digest := sha256.Sum256(body)
	stated := fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(digest[:]))
	if got := resp.Header.Get("Content-Digest"); got != stated {
		return fmt.Sprintf("the body has digest %s, its backend server sent digest %s", stated, got)
	}
	var answer struct {
		Method, Path, Echo, SHA256 string
		Received                   int
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "the response is not the JSON of a backend server: " + err.Error()
	}
	sent := sha256.Sum256([]byte(e.body))
	got := []string{answer.Method, answer.Path, answer.Echo, answer.SHA256}
	if want := []string{e.method, e.path, e.echo, hex.EncodeToString(sent[:])}; !slices.Equal(got, want) || answer.Received != len(e.body) {
		return fmt.Sprintf("the response is for %v with %d bytes, the request was %v with %d bytes", got, answer.Received, want, len(e.body))
	}
	return ""
}
