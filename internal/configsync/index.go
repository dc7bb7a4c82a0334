package configsync

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ParseIndex reads {"values":{"contracts/000":{...},...}} and returns the names in order. What stands behind a name is not
// needed here.
func ParseIndex(content []byte) ([]string, error) {
	var index struct {
		Values map[string]json.RawMessage `json:"values"`
	}
	if err := json.Unmarshal(content, &index); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(index.Values))
	for name := range index.Values {
		if !validName(name) {
			return nil, ErrName
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func hashOf(content []byte) uint64 { return xxhash.Sum64(content) }
