package fleet

import (
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// StartDaemon writes the settings file of a VM's daemon, starts the daemon and sets its entry in
// Daemons. It does not wait until the daemon is ready.
func (f *Fleet) StartDaemon(vm string) error {
	file := filepath.Join(f.opts.Dir, vm+".yaml")
	data, err := yaml.Marshal(f.settings(f.vmDocument(vm)))
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	p, err := startProcess(vm, f.opts.Dir, f.programPath("cowsliprund"), "--config", file)
	if err != nil {
		return err
	}
	f.Daemons[vm] = p
	return nil
}

// settingsFile holds the settings that differ from the defaults of the daemon.
type settingsFile struct {
	VM         string              `yaml:"vm"`
	DataCentre string              `yaml:"dataCentre"`
	Region     string              `yaml:"region"`
	Listen     settings.Listen     `yaml:"listen"`
	Platform   platformSettings    `yaml:"platform"`
	SeedPeers  []settings.SeedPeer `yaml:"seedPeers,omitempty"`
	Log        settings.Log        `yaml:"log"`
}

type platformSettings struct {
	URLs []string `yaml:"urls"`
}

// settings returns the settings of a VM's daemon. Its seed peers are all other listed VMs.
func (f *Fleet) settings(vm contract.VM) settingsFile {
	s := settingsFile{
		VM: vm.VM, DataCentre: vm.DataCentre, Region: f.regionOf(vm.DataCentre),
		Listen:   settings.Listen{Callers: f.callerAddresses[vm.VM], Peer: f.peerListen(vm), Admin: vm.AdminAddress},
		Platform: platformSettings{URLs: []string{f.platformURLFor(vm.VM)}},
		Log:      settings.Log{Level: "info", Format: "logfmt"},
	}
	for _, other := range f.listedVMs() {
		if other.VM == vm.VM {
			continue
		}
		s.SeedPeers = append(s.SeedPeers, settings.SeedPeer{Address: other.PeerAddress, DataCentre: other.DataCentre})
	}
	return s
}

func (f *Fleet) peerListen(vm contract.VM) string {
	if f.opts.PeerListen != nil {
		return f.opts.PeerListen(vm)
	}
	return vm.PeerAddress
}

func (f *Fleet) platformURLFor(vm string) string {
	if f.opts.PlatformFor != nil {
		return f.opts.PlatformFor(vm)
	}
	return f.PlatformURL()
}

func (f *Fleet) regionOf(dataCentre string) string {
	for _, dc := range f.documents.DataCentres {
		if dc.DataCentre == dataCentre {
			return dc.Region
		}
	}
	return ""
}
