package platform

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func call(t *testing.T, h http.Handler, method, target, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

// Guards against a reload that gives a new revision to unchanged values, which would make every
// daemon fetch all values again.
func TestReloadKeepsRevisionsOfUnchangedFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("contracts/000.json", "a")
	write("index.json", "i")
	s := New(NewStore(), dir)
	h := s.Handler()
	for range 2 {
		if w := call(t, h, "POST", "/v1/reload", ""); w.Code != 200 {
			t.Fatal(w.Body)
		}
	}
	write("contracts/000.json", "b")
	call(t, h, "POST", "/v1/reload", "")
	if w := call(t, h, "GET", "/v1/value?name=contracts/000", ""); w.Header().Get(RevisionHeader) != "3" || w.Body.String() != "b" {
		t.Fatalf("value contracts/000 at revision %s: %s; want revision 3 with content b", w.Header().Get(RevisionHeader), w.Body)
	}
	if w := call(t, h, "GET", "/v1/value?name=index", ""); w.Header().Get(RevisionHeader) != "2" {
		t.Fatalf("index at revision %s, want 2", w.Header().Get(RevisionHeader))
	}
}

// Guards against operator calls that overwrite a newer value or accept invalid input, and against
// faults that are not counted.
func TestOperatorCalls(t *testing.T) {
	h := New(NewStore(), "").Handler()
	for _, step := range []struct {
		method, target, body string
		status               int
	}{
		{"PUT", "/v1/value?name=index&if-revision=0", "a", 200},
		{"PUT", "/v1/value?name=index&if-revision=0", "b", 409},
		{"PUT", "/v1/value?name=index&if-revision=x", "b", 400},
		{"PUT", "/v1/value?name=index", strings.Repeat("x", MaxValueBytes+1), 413},
		{"PUT", "/v1/value?name=", "a", 400},
		{"PUT", "/v1/vms", `{"vms":[{"id":"a","state":"gone"}]}`, 400},
		{"PUT", "/v1/vms", `{"vms":[{"id":"a","state":"live"}]}`, 200},
		{"PUT", "/v1/fault?mode=odd", "", 400},
		{"PUT", "/v1/fault?mode=error&every=2", "", 200},
		{"GET", "/v1/value?name=index", "", 200},
		{"GET", "/v1/value?name=index", "", 500},
		{"POST", "/v1/restore?revision=0", "", 200},
		{"PUT", "/v1/fault?mode=none", "", 200},
		{"GET", "/v1/value?name=index", "", 404},
	} {
		if w := call(t, h, step.method, step.target, step.body); w.Code != step.status {
			t.Errorf("%s %s = %d, want %d: %s", step.method, step.target, w.Code, step.status, w.Body)
		}
	}
	if w := call(t, h, "GET", "/v1/stats", ""); strings.TrimSpace(w.Body.String()) != `{"value":3,"changes":0,"vms":0,"refused":1}` {
		t.Errorf("stats = %s", w.Body)
	}
}
