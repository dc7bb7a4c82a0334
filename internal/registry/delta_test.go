package registry

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

func drawConfiguration(t *rapid.T, label string) *Configuration {
	c := &Configuration{Version: rapid.Uint64Range(1, 99).Draw(t, label), MaxBodyBytes: rapid.Int64Range(0, 2).Draw(t, "limit")}
	for range rapid.IntRange(0, 12).Draw(t, "routes") {
		name := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "name"))
		c.Routes = append(c.Routes, Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Rank: rapid.IntRange(0, 1).Draw(t, "rank")})
	}
	for range rapid.IntRange(0, 12).Draw(t, "organisations") {
		o := Organisation{Name: fmt.Sprint("o", rapid.IntRange(0, 9).Draw(t, "organisation")), RatePerSecond: rapid.Float64Range(0, 9).Draw(t, "rate")}
		for range rapid.IntRange(0, 2).Draw(t, "keys") {
			o.Keys = append(o.Keys, catalog.DigestOf(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))))
		}
		c.Organisations = append(c.Organisations, o)
	}
	if c.KeysRequired = rapid.Bool().Draw(t, "keysRequired"); c.KeysRequired {
		c.Faults, c.FaultCount = []string{"fault"}, 7
	}
	return c
}

// Guards against a configuration that is another one after it has travelled as a delta, also with
// routes that stand twice or change places.
func TestDeltaRestoresConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfiguration(t, "before"), drawConfiguration(t, "after")
		data, err := json.Marshal(DiffConfigurations(before, after))
		if err != nil {
			t.Fatal(err)
		}
		var d ConfigurationDelta
		if err := json.Unmarshal(data, &d); err != nil {
			t.Fatal(err)
		}
		if got, err := d.Apply(before); err != nil || !reflect.DeepEqual(got, after) {
			t.Fatalf("got %+v (%v), want %+v", got, err, after)
		}
	})
}

// Guards against a change of a route that no delta carries because the comparison leaves a field out.
func TestDeltaComparesEachFieldOfRoute(t *testing.T) {
	before := &Configuration{Routes: []Route{{Name: "r"}}}
	fields := reflect.TypeFor[Route]()
	for i := range fields.NumField() {
		changed := Route{Name: "r"}
		switch field := reflect.ValueOf(&changed).Elem().Field(i); field.Kind() {
		case reflect.String:
			field.SetString("changed")
		case reflect.Int, reflect.Int64:
			field.SetInt(7)
		case reflect.Uint8:
			field.SetUint(1)
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Slice:
			changed.Parts = []catalog.WeightedService{{Service: "s", Weight: 1}}
		default:
			t.Fatalf("field %s has a kind that the test does not know", fields.Field(i).Name)
		}
		if d := DiffConfigurations(before, &Configuration{Routes: []Route{changed}}); d.Added() != 1 {
			t.Errorf("a change of field %s is not carried", fields.Field(i).Name)
		}
	}
}

// Guards against a change of an organisation that no delta carries because the comparison leaves a
// field out, so that a revoked key or a lower limit never reaches other daemons.
func TestDeltaComparesEachFieldOfOrganisation(t *testing.T) {
	before := &Configuration{Organisations: []Organisation{{Name: "a"}, {Name: "o"}, {Name: "z"}}}
	fields := reflect.TypeFor[Organisation]()
	for i := range fields.NumField() {
		changed := Organisation{Name: "o"}
		switch field := reflect.ValueOf(&changed).Elem().Field(i); field.Kind() {
		case reflect.String:
			field.SetString("changed")
		case reflect.Int:
			field.SetInt(7)
		case reflect.Float64:
			field.SetFloat(7)
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Slice:
			changed.Keys = []catalog.KeyDigest{catalog.DigestOf("k")}
		default:
			t.Fatalf("field %s has a kind that the test does not know", fields.Field(i).Name)
		}
		d := DiffConfigurations(before, &Configuration{Organisations: []Organisation{{Name: "a"}, changed, {Name: "z"}}})
		if d.Added() != 1 {
			t.Errorf("field %s: the delta carries %d organisations, want the changed one", fields.Field(i).Name, d.Added())
		}
	}
}

// Guards against a new version that cannot read what a daemon of an older one sends, and against
// digests that travel as long lists of numbers.
func TestConfigurationTravelsAsText(t *testing.T) {
	var c Configuration
	older := `{"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Kind":1}],"Services":null,"MaxBodyBytes":0}`
	if err := json.Unmarshal([]byte(older), &c); err != nil || c.HasOrganisations() || c.Routes[0].Anonymous {
		t.Fatalf("%+v, %v", c, err)
	}
	var d ConfigurationDelta
	if err := json.Unmarshal([]byte(`{"version":8,"spans":[{"count":1}]}`), &d); err != nil {
		t.Fatal(err)
	}
	if next, err := d.Apply(&c); err != nil || len(next.Routes) != 1 || next.HasOrganisations() {
		t.Errorf("%+v, %v", next, err)
	}
	text, err := json.Marshal(Organisation{Name: "o", Keys: []catalog.KeyDigest{catalog.DigestOf("k")}})
	if err != nil || len(text) > 80 {
		t.Errorf("%s, %v", text, err)
	}
	for _, bad := range []string{`""`, `"AAAA"`, `"` + strings.Repeat("A", 44) + `"`, `"` + strings.Repeat("!", 43) + `"`, `7`, `[1,2]`} {
		var digest catalog.KeyDigest
		if err := json.Unmarshal([]byte(bad), &digest); err == nil {
			t.Errorf("%s is taken for a digest", bad)
		}
	}
}

// Guards against a malformed delta that ends the process, or makes a configuration of other routes.
func TestDeltaThatDoesNotFitIsRefused(t *testing.T) {
	before := &Configuration{Routes: make([]Route, 3)}
	for _, span := range []Span[Route]{{From: 4}, {Count: 4}, {From: 2, Count: 2}, {From: -1, Count: 1}, {Count: -1}, {From: 1, Count: 1<<63 - 1}} {
		d := &ConfigurationDelta{Spans: []Span[Route]{span}}
		if got, err := d.Apply(before); err == nil {
			t.Errorf("%+v: got %+v", span, got)
		}
		d = &ConfigurationDelta{Organisations: []Span[Organisation]{{From: span.From, Count: span.Count}}}
		if got, err := d.Apply(&Configuration{Organisations: make([]Organisation, 3)}); err == nil {
			t.Errorf("organisations %+v: got %+v", span, got)
		}
	}
}
