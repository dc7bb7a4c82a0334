package contract

import (
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the expected issues in testdata")

// loadFleet returns the documents of a valid fleet: one of each kind.
func loadFleet(t testing.TB) Documents {
	t.Helper()
	var set Set
	set.AddPaths("testdata/fleet.yaml")
	if issues := set.Check(); len(issues) > 0 {
		t.Fatal(issues)
	}
	return set.Documents()
}

// Guards against checks that miss a fault, stop at the first one or name the wrong line. The golden
// file lists the issues of a file with many different faults; -update rewrites it.
func TestAllIssuesAreReportedWithLineAndPath(t *testing.T) {
	var set Set
	set.AddPaths("testdata/faulty.yaml", "testdata/none.yaml")
	got := set.Check().Error() + "\n"
	if *update {
		if err := os.WriteFile("testdata/faulty.txt", []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/faulty.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("issues:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against a duplicate customer, address, API key or backend server that goes unnoticed
// because the two uses are in different files. Equal loopback addresses of admin listeners are no
// duplicates.
func TestDuplicatesAcrossFilesAreReported(t *testing.T) {
	data, err := os.ReadFile("testdata/fleet.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var set Set
	set.Add("a.yaml", data)
	set.Add("c.yaml", []byte(`{apiVersion: cowsliprun/v1, kind: VM, vm: vm-2, generation: 1, dataCentre: rvk1, peerAddress: "10.0.0.2:7001", adminAddress: "127.0.0.1:7002"}`))
	if issues := set.Check(); len(issues) > 0 {
		t.Errorf("two VMs with the same loopback admin address: %v", issues)
	}
	set.Add("b.yaml", []byte(strings.NewReplacer("hotel-borg", "hotel-saga", "buyer-portal", "hub").Replace(string(data))))
	text := set.Check().Error()
	for _, want := range []string{
		`b.yaml:3: dataCentre: DataCentre rvk1 is defined twice; first at a.yaml:3`,
		`b.yaml:9: vm: VM vm-1 is defined twice`,
		`b.yaml:12: peerAddress: the address 10.0.0.1:7001 is used twice; first at a.yaml:12`,
		`b.yaml:23: backendServers[0].id: the backend server "portal-1" is defined twice; first at a.yaml:23`,
		`b.yaml:30: apiKeySHA256[0]: the API key digest is used by two customers; first at a.yaml:30`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no issue %q in\n%s", want, text)
		}
	}
}

// Guards against a parser that guesses the unit of a duration, and against one that fails to parse
// what String returned.
func TestDurationRequiresUnit(t *testing.T) {
	for _, text := range []string{"", "5", "0", "1.5", "1e3", "5 s", "5sec", "s", "five"} {
		if d, err := ParseDuration(text); err == nil {
			t.Errorf("ParseDuration(%q) = %v, want an error", text, d)
		}
	}
	for _, text := range []string{"250ms", "1m30s", "0s"} {
		d, err := ParseDuration(text)
		back, errBack := ParseDuration(d.String())
		if err != nil || errBack != nil || back != d {
			t.Errorf("ParseDuration(%q) = %v, %v; its String parses as %v, %v", text, d, err, back, errBack)
		}
	}
}

// Guards against a parser that panics on malformed input, reports an issue without a line, or
// accepts a document that daemons refuse after it was rendered.
func FuzzParseFile(f *testing.F) {
	for _, name := range []string{"testdata/fleet.yaml", "testdata/faulty.yaml"} {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("a: *b\n--- &x [*x]\n... \n%Y"))
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, issues := ParseFile("f", data)
		for _, issue := range issues {
			if issue.Line < 1 || strings.Contains(issue.Error(), "\n") {
				t.Fatalf("issue without line or over several lines: %q", issue.Error())
			}
		}
		if len(issues) > 0 {
			return
		}
		requireRoundTrip(t, docs)
	})
}

// requireRoundTrip fails the test if a document changes or is refused when it is encoded as a value
// and decoded again.
func requireRoundTrip(t *testing.T, docs Documents) {
	t.Helper()
	for _, doc := range docs.All() {
		data, err := encodeValue([]Document{doc})
		if err != nil {
			t.Fatal(err)
		}
		value, err := DecodeValue(ValueOf(doc.Ref()), data, nil)
		all := value.Documents.All()
		if err != nil || len(value.Bad) > 0 || len(all) != 1 || !sameContent(all[0], doc) {
			t.Fatalf("%v changed when encoded and decoded: %v, %v", doc, value, err)
		}
	}
}

// Guards against a duration whose text form is refused or parsed as another duration.
func FuzzDuration(f *testing.F) {
	f.Add("250ms")
	f.Add("-1h2m")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseDuration(text)
		if back, errBack := ParseDuration(d.String()); err == nil && (errBack != nil || back != d) {
			t.Fatalf("%q parses as %v, whose String parses as %v, %v", text, d, back, errBack)
		}
	})
}

// Guards against a field with different names in YAML and JSON: operators write YAML, daemons read
// JSON, and messages name fields by one path.
func TestYAMLAndJSONNamesAgree(t *testing.T) {
	var visit func(reflect.Type)
	visit = func(typ reflect.Type) {
		for i := range typ.NumField() {
			field := typ.Field(i)
			yaml, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
			json, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if yaml == "" || yaml != json {
				t.Errorf("%s.%s is %q in YAML and %q in JSON", typ.Name(), field.Name, yaml, json)
			}
			inner := field.Type
			if inner.Kind() == reflect.Slice {
				inner = inner.Elem()
			}
			if inner.Kind() == reflect.Struct {
				visit(inner)
			}
		}
	}
	for _, doc := range []any{Contract{}, Service{}, VM{}, DataCentre{}} {
		visit(reflect.TypeOf(doc))
	}
}
