package entry

import (
	"io"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// crossRegionCounter returns the counter for the body bytes of requests to a VM in another region,
// and nil if the VM is in the own region. The link between regions has little bandwidth and is paid
// by volume.
func (e *Entry) crossRegionCounter(service string, vm *catalog.VM) func(bytes int) {
	if e.region == "" || vm.Locality.Region == e.region {
		return nil
	}
	return e.observer.CrossRegionBytes(service)
}

// countedBody counts the bytes as they are read, because a failed try has used the link too.
type countedBody struct {
	io.ReadCloser
	count func(bytes int)
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.count(n)
	}
	return n, err
}
