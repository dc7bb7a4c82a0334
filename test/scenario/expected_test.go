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

const outcomeUnsent = "unsent"

// expected is a request together with what its own answer must contain.
type expected struct {
	method, path, echo, body, key string
}

func (e expected) request() *http.Request {
	req, err := http.NewRequest(e.method, "http://unset"+e.path, strings.NewReader(e.body))
	if err != nil {
		panic(err) // the paths are made by the loads
	}
	req.Header.Set("X-Echo", e.echo)
	req.Header.Set("X-Operation", e.echo)
	if e.key != "" {
		req.Header.Set(forward.HeaderIdempotencyKey, e.key)
	}
	return req
}

// judge reads the response into a. A response that ends cleanly must be the whole answer to this request, or an error of the
// system with an outcome.
func (e expected) judge(resp *http.Response, a *attempt) {
	a.status = resp.StatusCode
	a.kind = resp.Header.Get(forward.HeaderErrorKind)
	a.key = resp.Header.Get(forward.HeaderOperationKey)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err.Error() // a visible break, which callers cannot take for a whole response
		return
	}
	a.body = body
	a.outcome = resp.Header.Get(forward.HeaderOutcome)
	switch a.outcome {
	case errkind.Answered.String():
		if resp.StatusCode == http.StatusOK {
			a.fault = e.faultOf(resp, body)
		}
	case errkind.NotRun.String(), errkind.Unknown.String(), errkind.Ran.String():
		if !strings.HasPrefix(string(body), a.kind) || !strings.HasSuffix(string(body), "(outcome "+a.outcome+")\n") {
			a.fault = fmt.Sprintf("the error text %q does not fit kind %s and outcome %s", body, a.kind, a.outcome)
		}
	default:
		a.fault = fmt.Sprintf("the response has the outcome %q", a.outcome)
		a.outcome = "unknown"
	}
}

// faultOf compares an answer with the request and with the digest that the backend server computed before it sent the body.
func (e expected) faultOf(resp *http.Response, body []byte) string {
	digest := sha256.Sum256(body)
	stated := fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(digest[:]))
	if got := resp.Header.Get("Content-Digest"); got != stated {
		return fmt.Sprintf("the body has digest %s, its backend server stated %s", stated, got)
	}
	var answer struct {
		Method, Path, Echo, SHA256 string
		Received                   int
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "the answer is not the JSON of a backend server: " + err.Error()
	}
	sent := sha256.Sum256([]byte(e.body))
	got := []string{answer.Method, answer.Path, answer.Echo, answer.SHA256}
	if want := []string{e.method, e.path, e.echo, hex.EncodeToString(sent[:])}; !slices.Equal(got, want) || answer.Received != len(e.body) {
		return fmt.Sprintf("the answer is for %v with %d bytes, the request was %v with %d bytes", got, answer.Received, want, len(e.body))
	}
	return ""
}
