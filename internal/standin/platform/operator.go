package platform

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"net/http"
	"os"
	"strconv"
	"strings"
)

// registerOperatorRoutes adds the operator API to mux.
func (s *Server) registerOperatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/value", s.putValue)
	mux.HandleFunc("PUT /v1/vms", s.putVMs)
	mux.HandleFunc("PUT /v1/fault", s.putFault)
	mux.HandleFunc("POST /v1/reload", s.postReload)
	mux.HandleFunc("POST /v1/restore", s.postRestore)
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
}

func (s *Server) putValue(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	if name == "" || name[0] == 0 {
		http.Error(w, "query parameter name is missing or begins with a NUL byte", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var ifRevision *uint64
	if text := r.URL.Query().Get("if-revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "query parameter if-revision is not an unsigned integer", http.StatusBadRequest)
			return
		}
		ifRevision = &n
	}
	revision, err := s.store.Put(name, data, ifRevision)
	w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
	if errors.Is(err, ErrRevisionDiffers) {
		http.Error(w, err.Error(), http.StatusConflict)
	} else if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	}
}

// SetVMs replaces the list of VMs. It returns ErrTooLarge if the list as JSON has more than
// MaxValueBytes.
func (s *Server) SetVMs(vms []VM) error {
	data, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	_, err = s.store.Put(vmListKey, data, nil)
	return err
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var body struct {
		VMs []VM `json:"vms"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, vm := range body.VMs {
		if vm.ID == "" || vm.State != "live" && vm.State != "leaving" {
			http.Error(w, "a VM has no id, or its state is neither live nor leaving", http.StatusBadRequest)
			return
		}
	}
	if err := s.SetVMs(body.VMs); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	}
}

func (s *Server) putFault(w http.ResponseWriter, r *http.Request) {
	fault, ok := parseFault(r, s.store.Revision())
	if !ok {
		http.Error(w, "fault has an unknown mode or an invalid revision, delay or every", http.StatusBadRequest)
		return
	}
	s.SetFault(fault)
}

func (s *Server) postReload(w http.ResponseWriter, _ *http.Request) {
	if err := s.Reload(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) postRestore(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter revision is not an unsigned integer", http.StatusBadRequest)
		return
	}
	s.store.Restore(revision)
}

// Reload stores every .json file below the directory of values. The name of a value is the
// relative path of its file without the suffix. Unchanged files keep their revision, and values
// without a file stay. The value index is stored last, so that readers who see it can read all
// values that it lists. On an error the files read before it are stored.
func (s *Server) Reload() error {
	if s.valuesDir == "" {
		return nil
	}
	root := os.DirFS(s.valuesDir)
	files, err := valueFiles(root)
	if err != nil {
		return err
	}
	for _, path := range files {
		data, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		if _, err := s.store.Put(strings.TrimSuffix(path, ".json"), data, nil); err != nil {
			return err
		}
	}
	return nil
}

// valueFiles returns the paths of the .json files below root, with index.json last.
func valueFiles(root fs.FS) ([]string, error) {
	var files []string
	hasIndex := false
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil || entry.IsDir() || !strings.HasSuffix(path, ".json"):
		case path == "index.json":
			hasIndex = true
		default:
			files = append(files, path)
		}
		return err
	})
	if hasIndex {
		files = append(files, "index.json")
	}
	return files, err
}
