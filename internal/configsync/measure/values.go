package measure

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliprun/cowsliprun/internal/membership"
	standin "github.com/cowsliprun/cowsliprun/internal/standin/platform"
)

const (
	contractBuckets    = 512
	serviceBuckets     = 64
	contractsPerBucket = 72
	// contractBytes is the size of one rendered contract at the design size.
	contractBytes = 600
)

// values writes generated values of the design's shape to the stand-in.
type values struct {
	store  *standin.Store
	hashes map[string]string
}

func newValues(store *standin.Store) *values { return &values{store, map[string]string{}} }

// load stores all values. buckets bounds the contract buckets, so that small runs are possible.
func (v *values) load(vms []membership.VM, buckets int) error {
	if err := v.put("vms", vms); err != nil {
		return err
	}
	if err := v.put("datacentres", []string{}); err != nil {
		return err
	}
	for i := range serviceBuckets {
		if err := v.put(fmt.Sprintf("services/%02d", i), bucket(i, 14, 0)); err != nil {
			return err
		}
	}
	for i := range buckets {
		if err := v.put(contractName(i), bucket(i, contractsPerBucket, 0)); err != nil {
			return err
		}
	}
	return v.putIndex()
}

// change replaces one contract of a bucket, then the index, and returns the revision of the bucket.
func (v *values) change(i, generation int) (name string, revision uint64, err error) {
	name = contractName(i)
	if err := v.put(name, bucket(i, contractsPerBucket, generation)); err != nil {
		return name, 0, err
	}
	revision = v.store.Revision()
	return name, revision, v.putIndex()
}

func (v *values) put(name string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	v.hashes[name] = fmt.Sprintf("%016x", xxhash.Sum64(data))
	_, err = v.store.Put(name, data, nil)
	return err
}

func (v *values) putIndex() error {
	index := map[string]map[string]string{}
	for name, hash := range v.hashes {
		if name != "index" {
			index[name] = map[string]string{"hash": hash}
		}
	}
	return v.put("index", map[string]any{"values": index})
}

func contractName(i int) string { return fmt.Sprintf("contracts/%03d", i) }

// bucket returns documents of contractBytes each. Only the first one depends on the generation.
func bucket(i, documents, generation int) any {
	list := make([]map[string]any, documents)
	for d := range list {
		if d > 0 {
			generation = 0
		}
		list[d] = document(fmt.Sprintf("customer-%03d-%02d", i, d), generation)
	}
	return map[string]any{"documents": list}
}

func document(customer string, generation int) map[string]any {
	key := func(n int) string {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", customer, n))
		return hex.EncodeToString(sum[:])
	}
	doc := map[string]any{
		"apiVersion": "cowsliprun/v1", "kind": "Contract", "customer": customer, "generation": generation + 1,
		"apiKeySHA256": []string{key(0), key(1)},
		"routes": []map[string]any{
			{"pathPrefix": "/orders", "service": "service-" + key(2)[:4], "atMostOnce": true},
			{"pathPrefix": "/stock", "service": "service-" + key(3)[:4], "methods": []string{"GET"}},
		},
		"limits":   map[string]any{"ratePerSecond": 3 + int(key(4)[0]), "concurrency": 2 + int(key(4)[1])},
		"deadline": "5s",
	}
	data, _ := json.Marshal(doc) // maps of plain values always encode
	for n := 5; len(data)+len(`,"note":""`) < contractBytes; n++ {
		note, _ := doc["note"].(string)
		doc["note"] = note + "route of the customer " + key(n)[:6] + " "
		data, _ = json.Marshal(doc)
	}
	return doc
}
