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
	// contractBuckets and serviceBuckets are the numbers of values that the documents of a kind are
	// distributed over.
	contractBuckets = 512
	serviceBuckets  = 64
	// contractsPerBucket makes 512 buckets hold about the 37,000 contracts of the design size.
	contractsPerBucket = 72
	// contractBytes is the size of one rendered contract at the design size.
	contractBytes = 600
)

// publisher writes generated values of the design size to the store of the stand-in platform.
type publisher struct {
	store      *standin.Store
	hashByName map[string]string // hashes of the published values, for the index
}

func newPublisher(store *standin.Store) *publisher { return &publisher{store, map[string]string{}} }

// publishAll publishes all values, then the index. buckets is the number of contract buckets, which
// small runs set lower than contractBuckets.
func (p *publisher) publishAll(vms []membership.VM, buckets int) error {
	if err := p.put("vms", vms); err != nil {
		return err
	}
	if err := p.put("datacentres", []string{}); err != nil {
		return err
	}
	for i := range serviceBuckets {
		if err := p.put(fmt.Sprintf("services/%02d", i), bucketContent(i, 14, 0)); err != nil {
			return err
		}
	}
	for i := range buckets {
		if err := p.put(contractBucketName(i), bucketContent(i, contractsPerBucket, 0)); err != nil {
			return err
		}
	}
	return p.putIndex()
}

// changeContract replaces the first contract of bucket i, then the index. It returns the name of
// the bucket and its revision.
func (p *publisher) changeContract(i, generation int) (name string, revision uint64, err error) {
	name = contractBucketName(i)
	if err := p.put(name, bucketContent(i, contractsPerBucket, generation)); err != nil {
		return name, 0, err
	}
	revision = p.store.Revision()
	return name, revision, p.putIndex()
}

func (p *publisher) put(name string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	p.hashByName[name] = fmt.Sprintf("%016x", xxhash.Sum64(data))
	_, err = p.store.Put(name, data, nil)
	return err
}

func (p *publisher) putIndex() error {
	index := map[string]map[string]string{}
	for name, hash := range p.hashByName {
		if name != "index" {
			index[name] = map[string]string{"hash": hash}
		}
	}
	return p.put("index", map[string]any{"values": index})
}

func contractBucketName(i int) string { return fmt.Sprintf("contracts/%03d", i) }

// bucketContent returns bucket i with the given number of documents, of about contractBytes each.
// Only the first document depends on generation.
func bucketContent(i, documents, generation int) any {
	content := make([]map[string]any, documents)
	for d := range content {
		if d > 0 {
			generation = 0
		}
		content[d] = contractDocument(fmt.Sprintf("customer-%03d-%02d", i, d), generation)
	}
	return map[string]any{"documents": content}
}

// contractDocument returns a contract of about contractBytes as JSON, padded by its note. The same
// arguments give the same document.
func contractDocument(customer string, generation int) map[string]any {
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
