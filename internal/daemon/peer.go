package daemon

import (
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// peerHandler splits the peer listener's traffic: requests to a backend server go to the home, operations whose key names this
// daemon go to the owner, and the rest is control traffic.
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
