// Package settings reads the settings of one process: JSON with comments, unknown keys refused, all ranges checked
// in one place.
package settings

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/placement"
	"github.com/sycamorehub/sycamorehub/pkg/strictjson"
)

// Settings of one daemon. Whoever deploys the VM writes them; operators do not.
type Settings struct {
	VM         string    `json:"vm" validate:"required,max=64"`
	DataCentre string    `json:"dataCentre" validate:"required,max=64"`
	Region     string    `json:"region" validate:"required,max=64"`
	Cluster    string    `json:"cluster" validate:"required,max=64"`
	Listen     Listen    `json:"listen"`
	Platform   Platform  `json:"platform"`
	Endpoints  Endpoints `json:"endpoints"`
	Limits     Limits    `json:"limits"`
	Link       Link      `json:"link"`
	Placement  Placement `json:"placement"`
	Log        Log       `json:"log"`
	Admin      Admin     `json:"admin"`
	TLS        TLS       `json:"tls"`
}

// Listen holds the addresses that the daemon serves, host:port.
type Listen struct {
	Callers string `json:"callers" validate:"required,hostname_port"`
	Peers   string `json:"peers" validate:"required,hostname_port"`
	Admin   string `json:"admin" validate:"required,hostname_port"`
}

// Platform says where the platform is reached.
type Platform struct {
	URL     string                 `json:"url" validate:"required,url"`
	Timeout clusterconfig.Duration `json:"timeout" validate:"min=10000000,max=60000000000"`
}

// Endpoints holds what the connections to members need.
type Endpoints struct {
	User           string                 `json:"user" validate:"required,max=64"`
	ConnectTimeout clusterconfig.Duration `json:"connectTimeout" validate:"min=10000000,max=60000000000"`
	// Reserve is the number of connections per member that an owner leaves unused, for a second owner while
	// ownership moves.
	Reserve int `json:"reserve" validate:"min=0,max=1000"`
}

// Limits bounds what the daemon holds.
type Limits struct {
	CallerConnections int                    `json:"callerConnections" validate:"min=1,max=1000000"`
	DrainGrace        clusterconfig.Duration `json:"drainGrace" validate:"min=0,max=60000000000"`
	Drain             clusterconfig.Duration `json:"drain" validate:"min=1000000000,max=600000000000"`
}

// Link describes the link between regions.
type Link struct {
	BitsPerSecond int64 `json:"bitsPerSecond" validate:"min=1000"`
}

// Placement says when primaries move to the region that holds most members of their service.
type Placement struct {
	// Stand is how long a primary must have stood before it may be moved. 0: primaries are not moved.
	Stand clusterconfig.Duration `json:"stand" validate:"eq=0|min=1000000000,max=86400000000000"`
}

// Log selects what is logged.
type Log struct {
	Level  string `json:"level" validate:"oneof=trace debug info warn error"`
	Format string `json:"format" validate:"oneof=json text"`
}

// Admin configures the operators' HTTP API.
type Admin struct {
	TokenFile string `json:"tokenFile,omitempty" validate:"omitempty,file"`
	PProf     bool   `json:"pprof,omitempty"`
}

// TLS names the key files; all empty means plain TCP. With CertFile callers may use TLS; with PeerCAFile daemons
// accept only each other's connections with a certificate of that CA.
type TLS struct {
	CertFile   string `json:"certFile,omitempty" validate:"required_with=KeyFile PeerCAFile,omitempty,file"`
	KeyFile    string `json:"keyFile,omitempty" validate:"required_with=CertFile,omitempty,file"`
	PeerCAFile string `json:"peerCAFile,omitempty" validate:"omitempty,file"`
}

// Default returns the settings that a file need not repeat.
func Default() *Settings {
	return &Settings{
		Platform:  Platform{Timeout: clusterconfig.Duration(2 * time.Second)},
		Endpoints: Endpoints{User: "sycamorehub", ConnectTimeout: clusterconfig.Duration(2 * time.Second), Reserve: 2},
		Limits: Limits{
			CallerConnections: 20000,
			DrainGrace:        clusterconfig.Duration(2 * time.Second),
			Drain:             clusterconfig.Duration(clusterconfig.MaxLatency),
		},
		Link:      Link{BitsPerSecond: 30_000_000},
		Placement: Placement{Stand: clusterconfig.Duration(placement.DefaultMinTenure)},
		Log:       Log{Level: "info", Format: "json"},
	}
}

// Load reads and checks the file. Errors are of kind SettingsInvalid and name file, line or key.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(errkind.SettingsInvalid, err, "settings file cannot be read")
	}
	s := Default()
	if err := strictjson.Unmarshal(data, s); err != nil {
		return nil, errkind.Wrap(errkind.SettingsInvalid, err, "%s", path)
	}
	if err := s.Validate(); err != nil {
		return nil, errkind.Wrap(errkind.SettingsInvalid, err, "%s", path)
	}
	return s, nil
}

// Validate checks all ranges.
func (s *Settings) Validate() error {
	err := validator.New().Struct(s)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		field := invalid[0]
		return fmt.Errorf("%s: value %v breaks the rule %s=%s", field.Namespace(), field.Value(), field.Tag(), field.Param())
	}
	return err
}

// Logger returns the logger that the settings describe.
func (s *Settings) Logger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(os.Stdout)
	if s.Log.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		log.SetLevel(level)
	}
	return log.WithField("vm", s.VM)
}
