package daemon

import (
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// peerHandler dispatches the requests on the peer listener. Requests that name a backend server go
// to the home, those that name an operation go to the owner of its key, which is this daemon, and
// all others are control messages.
func peerHandler(home, owner, control http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(forward.HeaderBackend) != "":
			home.ServeHTTP(w, r)
		case r.Header.Get(forward.HeaderOperation) != "":
			owner.ServeHTTP(w, r)
		default:
			control.ServeHTTP(w, r)
		}
	})
}
