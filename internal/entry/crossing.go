package entry

import (
	"io"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// crossing returns the counter for requests to a VM in another region, whose link is narrow and paid by volume, and nil for
// those in the own region.
func (e *Entry) crossing(service string, vm *catalog.VM) func(bytes int) {
	if e.region == "" || vm.Locality.Region == e.region {
		return nil
	}
	return e.observer.OtherRegion(service)
}

// countedBody counts what is read of a body, as it is read: a try that fails has used the link too.
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
