package cmd

import (
	"fmt"
	"os"
	"time"

	"k8s.io/klog/v2"

	"graniteknot.org/go/internal/core/directapp"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/wholefile"
)

// filePeriod is how often the settings file is looked at: it may change without
// a signal.
const filePeriod = 5 * time.Second

// settingsFile has a process take changed settings.
type settingsFile struct {
	path    string
	role    directconf.Role
	process *directapp.Process
	watch   *wholefile.Watch
	// stop bounds a stop in the settings in force.
	stop time.Duration
	// again is when the file is read again, to see whether it is still being written; nil if no
	// reload is due.
	again <-chan time.Time
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
			// A reload that is due reads the file once more.
			if s.again == nil {
				s.look()
			}
		case <-ticker.C:
			s.check()
		case <-s.again:
			s.look()
		}
	}
}

// check has the file read if it has changed.
func (s *settingsFile) check() {
	if s.again != nil {
		klog.InfoS("settings not reloaded yet: the file is being written", "path", s.path)
		return
	}
	changed, err := s.watch.Changed()
	if err != nil {
		klog.ErrorS(err, "settings file", "path", s.path)
	}
	if changed {
		s.look()
	}
}

// look reads the file, and reloads the settings once nobody writes it.
func (s *settingsFile) look() {
	s.again = nil
	text, whole, err := s.watch.Look()
	switch {
	case err != nil:
		klog.ErrorS(err, "settings not reloaded", "path", s.path)
	case !whole:
		s.again = time.After(wholefile.Interval)
	default:
		s.reload(text)
	}
}

// reload keeps the settings in force when the file is faulty.
func (s *settingsFile) reload(text []byte) {
	config, err := directconf.Parse(s.path, text)
	if err == nil && config.Role != s.role {
		err = fmt.Errorf("[process] role: expected %s", s.role)
	}
	if err != nil {
		klog.ErrorS(err, "settings not reloaded", "path", s.path)
		return
	}
	s.process.Reload(config)
	s.stop = config.Stop
}
