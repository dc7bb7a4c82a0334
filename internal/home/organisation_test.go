package home

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// Guards against a backend server that gets the key of a caller because the entry had an older
// configuration without organisations, or is not told the organisation because the home has one.
func TestHomeRemovesCredentials(t *testing.T) {
	for _, c := range []struct {
		name                string
		identifies          bool
		organisation        string
		authorization, told string
	}{
		{"no organisations", false, "", "Bearer k", "operator"},
		{"older configuration at the entry", true, "", "", "operator"},
		{"older configuration at the home", false, "acme", "", "acme"},
		{"both", true, "acme", "", "acme"},
	} {
		h := New(Options{VM: "vm0"})
		resolved := catalog.ResolvedConfiguration{}
		if c.identifies {
			resolved.Organisations = catalog.NewOrganisations(nil, nil)
		}
		h.Apply(catalog.NewResolvedSnapshot(resolved))
		r := httptest.NewRequest(http.MethodGet, "/a", nil)
		r.Header.Set("Authorization", "Bearer k")
		r.Header.Set(forward.HeaderCustomer, "operator")
		if c.organisation != "" {
			r.Header.Set(forward.HeaderOrganisation, c.organisation)
		}
		x := &exchange{dialect: dialect.Cowslip{}, address: "10.0.0.1:80", removeCredentials: h.identifiesCallers.Load()}
		got := x.backendRequest(t.Context(), r).Header
		if got.Get("Authorization") != c.authorization || got.Get(forward.HeaderCustomer) != c.told || got.Get(forward.HeaderOrganisation) != "" {
			t.Errorf("%s: the backend server gets %v", c.name, got)
		}
	}
}
