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

// The values of the platform.
const (
	ValueIndex       = "index"
	ValueDataCentres = "datacentres"
	ValueVMs         = "vms"
	// ServiceBuckets and ContractBuckets are the numbers of values that services and contracts are spread over.
	ServiceBuckets  = 64
	ContractBuckets = 512
	// MaxValueBytes is the size limit of the platform for one value.
	MaxValueBytes = 1_000_000
)

// ServiceBucket returns the number of the bucket of a service.
func ServiceBucket(service string) int { return int(xxhash.Sum64String(service) % ServiceBuckets) }

// ContractBucket returns the number of the bucket of a customer.
func ContractBucket(customer string) int { return int(xxhash.Sum64String(customer) % ContractBuckets) }

// ServiceValue returns the name of the value with the number of a service bucket.
func ServiceValue(bucket int) string { return fmt.Sprintf("services/%02d", bucket) }

// ContractValue returns the name of the value with the number of a contract bucket.
func ContractValue(bucket int) string { return fmt.Sprintf("contracts/%03d", bucket) }

// ValueOf returns the name of the value that holds the document.
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

// ValueNames returns the names of all values but the index, in order.
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

// Index is the content of the value "index". It lists every other value, empty ones too, so that a daemon knows when it
// holds everything.
type Index struct {
	Values map[string]IndexEntry `json:"values"`
}

// IndexEntry describes one value.
type IndexEntry struct {
	// ContentHash is the xxhash64 of the value as 16 hex digits.
	ContentHash string `json:"contentHash"`
}

// ContentHash returns the hash of a value that the index lists.
func ContentHash(value []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(value)) }

// DecodeIndex reads the value "index".
func DecodeIndex(data []byte) (Index, error) {
	var index Index
	if len(data) > MaxValueBytes {
		return index, tooLarge(ValueIndex, len(data))
	}
	if err := json.Unmarshal(data, &index, json.RejectUnknownMembers(true)); err != nil {
		return Index{}, eris.Wrap(err, "value index")
	}
	for name, entry := range index.Values {
		if kindOf(name) == "" {
			return Index{}, eris.Errorf("value index: unknown value %q", name)
		}
		if len(entry.ContentHash) != 16 || strings.Trim(entry.ContentHash, "0123456789abcdef") != "" {
			return Index{}, eris.Errorf("value index: %s: contentHash must be 16 hex digits, is %q", name, entry.ContentHash)
		}
	}
	return index, nil
}

func tooLarge(name string, size int) error {
	return eris.Errorf("value %s has %d bytes, more than the limit of %d", name, size, MaxValueBytes)
}

// kindOf returns the kind of document that a value holds, or an empty text when there is no such value.
func kindOf(value string) string {
	folder, number, _ := strings.Cut(value, "/")
	bucket, err := strconv.Atoi(number)
	switch {
	case err == nil && folder == "contracts" && bucket < ContractBuckets && value == ContractValue(bucket):
		return KindContract
	case err == nil && folder == "services" && bucket < ServiceBuckets && value == ServiceValue(bucket):
		return KindService
	case value == ValueVMs:
		return KindVM
	case value == ValueDataCentres:
		return KindDataCentre
	default:
		return ""
	}
}

type valueJSON[T any] struct {
	Documents []T `json:"documents"`
}

// Render encodes the documents as values of the platform, the index included. The same documents give the same bytes in
// whatever order they come. It fails when a value exceeds MaxValueBytes, and names each such value.
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
			err = tooLarge(name, len(data))
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
