package configsync

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ParseIndex decodes an index such as {"values":{"contracts/000":{...},...}} and returns the names
// in ascending order. What an index says about a name is ignored. It returns ErrInvalidName for a
// name that a Store would refuse.
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
			return nil, ErrInvalidName
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// contentHash returns the XXH64 of decompressed content.
func contentHash(content []byte) uint64 { return xxhash.Sum64(content) }
