package runstate

import (
	"errors"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

func outcomeOf(err error) errkind.Outcome { return errkind.Of(err).Answer().Outcome }

// Guards against a promise for a request of which an earlier try may have run.
func TestOneUnknownTryEndsThePromise(t *testing.T) {
	refused, broken := errkind.New(errkind.SlotsFull, ""), errkind.New(errkind.BackendBroken, "")
	none := errkind.New(errkind.NoBackend, "")
	for name, c := range map[string]struct {
		tries []error
		end   error
		want  error
	}{
		"no try":                  {nil, none, none},
		"refused":                 {[]error{refused}, none, refused},
		"broken, refused":         {[]error{broken, refused}, none, broken},
		"refused, broken":         {[]error{refused, broken}, none, broken},
		"refused, ends unknown":   {[]error{refused}, broken, broken},
		"refused, ends elsewhere": {[]error{refused}, errors.New("plain"), errors.New("plain")},
	} {
		var tries Tries
		for _, err := range c.tries {
			tries.Record(err)
		}
		if got := tries.Error(c.end); got.Error() != c.want.Error() || outcomeOf(got) != outcomeOf(c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
