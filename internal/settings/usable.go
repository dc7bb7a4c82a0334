package settings

import (
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

// requiredForRegistry are the fields without which a daemon that uses a registry cannot serve, or
// would tell backend servers a wrong origin. A path also stands for the fields below it.
var requiredForRegistry = []string{"vm", "dataCentre", "region", "listen", "registry.url", "platform", "application"}

// ParseUsable reads the settings of a daemon that uses a registry and whose file a platform fills
// in. An issue of a field that the daemon needs is returned in fatal, and the settings must not be
// used. Any other field with an issue gets its default, a list loses the item with the issue, and
// the issue is returned in ignored: one unexpected value must not keep a whole fleet from starting.
func ParseUsable(file string, data []byte) (s Settings, fatal, ignored strictyaml.Issues) {
	s, issues := Parse(file, data)
	faultyItems := map[string][]int{}
	for _, issue := range issues {
		if issue.Path == "" || isRequiredForRegistry(issue.Path) || s.Registry.URL == "" {
			fatal = append(fatal, issue)
			continue
		}
		ignored = append(ignored, issue)
		if list, index, ok := splitItem(issue.Path); ok {
			faultyItems[list] = append(faultyItems[list], index)
			continue
		}
		resetField(&s, issue.Path)
	}
	s.PeerNetworks = without(s.PeerNetworks, faultyItems["peerNetworks"])
	s.TrustedProxies = without(s.TrustedProxies, faultyItems["trustedProxies"])
	s.DataCentres = without(s.DataCentres, faultyItems["dataCentres"])
	s.SeedPeers = without(s.SeedPeers, faultyItems["seedPeers"])
	return s, fatal, ignored
}

func isRequiredForRegistry(path string) bool {
	return slices.ContainsFunc(requiredForRegistry, func(required string) bool {
		return path == required || strings.HasPrefix(path, required+".")
	})
}

// splitItem splits a path such as "dataCentres[2].region" into the list and the index.
func splitItem(path string) (list string, index int, ok bool) {
	list, rest, found := strings.Cut(path, "[")
	digits, _, closed := strings.Cut(rest, "]")
	index, err := strconv.Atoi(digits)
	return list, index, found && closed && err == nil
}

// without returns the items whose indexes are not listed.
func without[T any](items []T, indexes []int) []T {
	var out []T
	for i, item := range items {
		if !slices.Contains(indexes, i) {
			out = append(out, item)
		}
	}
	return out
}

// resetField sets the field at the path to its default. A path of an unknown field changes nothing.
func resetField(s *Settings, path string) {
	defaults := Default()
	field, value := reflect.ValueOf(s).Elem(), reflect.ValueOf(&defaults).Elem()
	for name := range strings.SplitSeq(path, ".") {
		if field.Kind() != reflect.Struct {
			return
		}
		i := fieldWithTag(field.Type(), name)
		if i < 0 {
			return
		}
		field, value = field.Field(i), value.Field(i)
	}
	field.Set(value)
}

// fieldWithTag returns the index of the field with the YAML name, or -1.
func fieldWithTag(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ","); tag == name {
			return i
		}
	}
	return -1
}
