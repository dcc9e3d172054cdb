package cmd

import (
	"os"
	"time"

	"k8s.io/klog/v2"

	"graniteknot.org/go/internal/core/directapp"
	"graniteknot.org/go/internal/core/directconf"
)

// filePeriod is how often the settings file is looked at: it may change without
// a signal.
const filePeriod = 5 * time.Second

// settingsFile has a process take changed settings.
type settingsFile struct {
	path    string
	role    directconf.Role
	process *directapp.Process
	// changed is when the file that was read last was written.
	changed time.Time
}

// until reloads on every signal to do so, and when the file has changed, until a
// signal to stop comes.
func (s *settingsFile) until(stop, reload <-chan os.Signal) {
	ticker := time.NewTicker(filePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-reload:
			s.note()
			s.reload()
		case <-ticker.C:
			if s.note() {
				s.reload()
			}
		}
	}
}

// note tells whether the file was written since the last look.
func (s *settingsFile) note() bool {
	info, err := os.Stat(s.path)
	if err != nil {
		klog.ErrorS(err, "settings file", "path", s.path)
		return false
	}
	newer := !info.ModTime().Equal(s.changed)
	s.changed = info.ModTime()
	return newer
}

// reload keeps the settings in force when the file is faulty.
func (s *settingsFile) reload() {
	config, err := directconf.Load(s.path)
	if err == nil && config.Role == s.role {
		s.process.Reload(config)
		return
	}
	klog.ErrorS(err, "settings not reloaded", "path", s.path)
}
