package daemon

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// Guards against queues without the setting: such a daemon must decide as before.
func TestQueuesNeedTheSetting(t *testing.T) {
	if admissionOptions(&settings.Registry{}, metrics.NewSet()) != nil {
		t.Error("requests wait in queues although registry.admission is empty")
	}
	if admissionOptions(&settings.Registry{Admission: settings.AdmissionQueue}, metrics.NewSet()) == nil {
		t.Error("requests do not wait in queues although registry.admission says so")
	}
}
