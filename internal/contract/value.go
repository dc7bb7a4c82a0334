package contract

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"
)

// The names of the values in the platform's configuration service, and their limits.
const (
	ValueIndex       = "index"
	ValueDataCentres = "datacentres"
	ValueVMs         = "vms"
	// ServiceBuckets and ContractBuckets are the numbers of values over which services and
	// contracts are distributed by a hash of their name.
	ServiceBuckets  = 64
	ContractBuckets = 512
	// MaxValueBytes is the size limit that the platform sets for one value.
	MaxValueBytes = 1_000_000
)

// ServiceBucket returns the number of the bucket that holds a service.
func ServiceBucket(service string) int { return int(xxhash.Sum64String(service) % ServiceBuckets) }

// ContractBucket returns the number of the bucket that holds the contract of a customer.
func ContractBucket(customer string) int { return int(xxhash.Sum64String(customer) % ContractBuckets) }

// ServiceValue returns the name of the value for a service bucket.
func ServiceValue(bucket int) string { return fmt.Sprintf("services/%02d", bucket) }

// ContractValue returns the name of the value for a contract bucket.
func ContractValue(bucket int) string { return fmt.Sprintf("contracts/%03d", bucket) }

// ValueOf returns the name of the value that holds the document. An unknown kind gives
// ValueDataCentres.
func ValueOf(ref Ref) string {
	switch ref.Kind {
	case KindContract:
		return ContractValue(ContractBucket(ref.Name))
	case KindService:
		return ServiceValue(ServiceBucket(ref.Name))
	case KindVM:
		return ValueVMs
	default:
		return ValueDataCentres
	}
}

// ValueNames returns the names of all values except the index, in lexical order.
func ValueNames() []string {
	names := make([]string, 0, ContractBuckets+ServiceBuckets+2)
	for i := range ContractBuckets {
		names = append(names, ContractValue(i))
	}
	names = append(names, ValueDataCentres)
	for i := range ServiceBuckets {
		names = append(names, ServiceValue(i))
	}
	return append(names, ValueVMs)
}

// Index is the content of the value "index". It lists every other value, including empty ones, so
// that a daemon can tell when it has received all of them.
type Index struct {
	Values map[string]IndexEntry `json:"values"`
}

// IndexEntry describes one value.
type IndexEntry struct {
	// ContentHash is the XXH64 hash of the value's bytes as 16 hex digits.
	ContentHash string `json:"contentHash"`
}

// ContentHash returns the XXH64 hash of a value's bytes in the form that the index lists.
func ContentHash(value []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(value)) }

// DecodeIndex decodes the value "index". Unknown fields, unknown value names and malformed hashes
// are errors.
func DecodeIndex(data []byte) (Index, error) {
	var index Index
	if len(data) > MaxValueBytes {
		return index, tooLargeError(ValueIndex, len(data))
	}
	if err := json.Unmarshal(data, &index, json.RejectUnknownMembers(true)); err != nil {
		return Index{}, eris.Wrap(err, "value index")
	}
	for name, entry := range index.Values {
		if kindOfValue(name) == "" {
			return Index{}, eris.Errorf("value index: unknown value %q", name)
		}
		if len(entry.ContentHash) != 16 || strings.Trim(entry.ContentHash, "0123456789abcdef") != "" {
			return Index{}, eris.Errorf("value index: %s: contentHash must be 16 hex digits, is %q", name, entry.ContentHash)
		}
	}
	return index, nil
}

func tooLargeError(name string, size int) error {
	return eris.Errorf("value %s has %d bytes, more than the limit of %d", name, size, MaxValueBytes)
}

// kindOfValue returns the kind of the documents that a value holds, or an empty string for the
// index and for unknown names.
func kindOfValue(valueName string) string {
	prefix, number, _ := strings.Cut(valueName, "/")
	bucket, err := strconv.Atoi(number)
	switch {
	case err == nil && prefix == "contracts" && bucket < ContractBuckets && valueName == ContractValue(bucket):
		return KindContract
	case err == nil && prefix == "services" && bucket < ServiceBuckets && valueName == ServiceValue(bucket):
		return KindService
	case valueName == ValueVMs:
		return KindVM
	case valueName == ValueDataCentres:
		return KindDataCentre
	default:
		return ""
	}
}

type valueJSON[T any] struct {
	Documents []T `json:"documents"`
}

// Render encodes the documents as values, including the index, and returns them by name. The order
// of the documents does not change the result. Render fails if a value exceeds MaxValueBytes; the
// error names each such value.
func Render(docs Documents) (map[string][]byte, error) {
	byValue := map[string][]Document{}
	for _, doc := range docs.All() {
		name := ValueOf(doc.Ref())
		byValue[name] = append(byValue[name], doc)
	}
	out := make(map[string][]byte, ContractBuckets+ServiceBuckets+3)
	index := Index{Values: map[string]IndexEntry{}}
	var failures []error
	for _, name := range ValueNames() {
		data, err := encodeValue(byValue[name])
		if err == nil && len(data) > MaxValueBytes {
			err = tooLargeError(name, len(data))
		}
		if err != nil {
			failures = append(failures, err)
			continue
		}
		out[name] = data
		index.Values[name] = IndexEntry{ContentHash: ContentHash(data)}
	}
	if len(failures) > 0 {
		return nil, errors.Join(failures...)
	}
	data, err := json.Marshal(index, json.Deterministic(true))
	if err != nil {
		return nil, eris.Wrap(err, "value index")
	}
	out[ValueIndex] = data
	return out, nil
}

func encodeValue(docs []Document) ([]byte, error) {
	return json.Marshal(valueJSON[Document]{Documents: docs}, json.Deterministic(true))
}
