package fleet

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/admin"
)

// Modes returns the ejection mode of each backend server, by its id, as reported by the daemon of
// its VM. Backend servers of daemons that do not respond are left out.
func (f *Fleet) Modes(ctx context.Context) map[string]string {
	modes := map[string]string{}
	for _, vm := range f.listedVMs() {
		body, err := f.request(ctx, http.MethodGet, f.AdminURL(vm.VM)+"/v1/status", nil)
		if err != nil {
			continue
		}
		var st admin.Status
		if json.Unmarshal(body, &st) != nil {
			continue
		}
		for _, b := range st.BackendServers {
			modes[b.BackendServer] = b.Ejection.State.Mode.String()
		}
	}
	return modes
}
