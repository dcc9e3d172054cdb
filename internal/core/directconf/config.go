package directconf

import (
	"fmt"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/inifile"
	"graniteknot.org/go/internal/wholefile"
)

// Role is what a process does.
type Role string

// The roles.
const (
	RoleGateway Role = "gateway"
	RoleSidecar Role = "sidecar"
)

// Config is the settings of one process.
type Config struct {
	Role   Role
	Box    graniteknot.BoxName
	Zone   graniteknot.AvailabilityZone
	Region string

	// Requests, Readiness and Directory are where a gateway is called.
	Requests, Readiness, Directory graniteknot.Address
	// Peers is where processes of the system send each other datagrams.
	Peers graniteknot.Address
	// Metrics is where the process tells its figures; empty for nowhere.
	Metrics graniteknot.Address

	// Store is the platform's store.
	Store graniteknot.Address
	// Readers is how many gateways read the store for all where there are more
	// than twice as many; 0 has each read for itself.
	Readers int
	// Target is a sidecar's own replica, of TargetService.
	Target        graniteknot.Address
	TargetService graniteknot.Service

	// Memory is the process's limit; 0 is none.
	Memory graniteknot.Bytes
	// SlowPeers reports that callers and replicas may be slow to read, so that what is held for
	// them is bounded.
	SlowPeers bool
	// MaxResponseHead bounds the head of a replica's response, 1xx responses before it included.
	MaxResponseHead graniteknot.Bytes
	// Zones names the regions of zones, the process's own included.
	Zones catalog.ZoneRegions
	// Link is what the box can send, and what it can receive, in bytes a second; 0 is
	// unknown. What the system's own processes tell each other keeps to a part of it.
	Link float64
	// KeyAge is how old a configuration may be that a key is trusted under.
	KeyAge time.Duration
	// KeysUnproved has keys trusted under an older configuration too, until
	// another gateway is known to have a newer one.
	KeysUnproved bool
	// Drain is how long after its announcement a leaving replica may still get
	// requests.
	Drain time.Duration
	// Stop bounds a planned stop.
	Stop time.Duration
	// AnswerLife is the longest time that callers keep an address answer.
	AnswerLife time.Duration
	// RetryPercent is how many retries a hundred requests to a service allow,
	// RetryExtra how many more in the time that the budget is counted in, over all gateways.
	RetryPercent float64
	RetryExtra   float64
	// FencesChecked tells that ranks refuse orders of former keepers.
	FencesChecked bool
}

// Load reads a file that nobody is writing. All faults are reported at once.
func Load(path string) (*Config, error) {
	text, err := wholefile.ReadAtStart(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text. The error is of type inifile.Faults.
func Parse(name string, text []byte) (*Config, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	p := &parser{file: file, config: defaults(), seen: map[string]bool{}}
	for i := range file.Sections {
		p.section(&file.Sections[i])
	}
	p.required()
	p.config.Zones = p.config.Zones.Add(p.config.Zone, catalog.Region(p.config.Region))
	return p.config, p.faults.Err()
}

func defaults() *Config {
	return &Config{
		KeyAge: 5 * time.Second, Drain: 2 * time.Second, Stop: 8 * time.Second, AnswerLife: 5 * time.Second,
		RetryPercent: 20, RetryExtra: 50, MaxResponseHead: conns.DefaultMaxHead,
	}
}
