// Package settings reads the settings file of a daemon. The file is JSON with comments. Unknown keys are errors, and the
// ranges of all values are checked when the file is loaded.
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

// Settings holds the settings of one daemon. They are written when the VM is deployed, not by operators.
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

// Listen holds the addresses on which the daemon listens, in the form host:port.
type Listen struct {
	Callers string `json:"callers" validate:"required,hostname_port"`
	Peers   string `json:"peers" validate:"required,hostname_port"`
	Admin   string `json:"admin" validate:"required,hostname_port"`
}

// Platform says where the platform is reached, and how long a request to it may take.
type Platform struct {
	URL     string                 `json:"url" validate:"required,url"`
	Timeout clusterconfig.Duration `json:"timeout" validate:"min=10000000,max=60000000000"`
}

// Endpoints holds the settings of the connections to members.
type Endpoints struct {
	User           string                 `json:"user" validate:"required,max=64"`
	ConnectTimeout clusterconfig.Duration `json:"connectTimeout" validate:"min=10000000,max=60000000000"`
	// Reserve is the number of connections per member that an owner leaves unused. They are for a second owner of the
	// member while ownership moves to another VM.
	Reserve int `json:"reserve" validate:"min=0,max=1000"`
}

// Limits holds the limits on caller connections and on the graceful shutdown.
type Limits struct {
	// CallerConnections is the largest number of connections of callers.
	CallerConnections int `json:"callerConnections" validate:"min=1,max=1000000"`
	// MemoryMB is the memory that the process may use. 0 stands for the memory of the machine.
	MemoryMB int `json:"memoryMB,omitempty" validate:"min=0,max=16777216"`
	// DrainGrace is how long the connections of idle callers stay open after a graceful shutdown has begun.
	DrainGrace clusterconfig.Duration `json:"drainGrace" validate:"min=0,max=60000000000"`
	// Drain is how long callers have to finish their units and transactions during a graceful shutdown.
	Drain clusterconfig.Duration `json:"drain" validate:"min=1000000000,max=600000000000"`
	// Close is how long the daemon may take after Drain to finish units of other daemons and to close connections. The
	// process ends at most Drain and Close after the signal to stop, and once its log has been written.
	Close clusterconfig.Duration `json:"close" validate:"min=100000000,max=60000000000"`
}

// Link describes the link between regions.
type Link struct {
	// BitsPerSecond is the rate that the daemon's traffic to other regions is limited to.
	BitsPerSecond int64 `json:"bitsPerSecond" validate:"min=1000"`
}

// Placement says when primaries are moved to the region that has most members of their service.
type Placement struct {
	// Stand is the minimum tenure: how long a primary must have been unchanged before it may be moved to another region.
	// 0 means that primaries are not moved.
	Stand clusterconfig.Duration `json:"stand" validate:"eq=0|min=1000000000,max=86400000000000"`
}

// Log selects the level and the format of the log.
type Log struct {
	Level  string `json:"level" validate:"oneof=trace debug info warn error"`
	Format string `json:"format" validate:"oneof=json text"`
}

// Admin configures the operators' HTTP API.
type Admin struct {
	// TokenFile is the file that holds the operators' token. If empty, no token is required.
	TokenFile string `json:"tokenFile,omitempty" validate:"omitempty,file"`
	// PProf enables the profiles of net/http/pprof.
	PProf bool `json:"pprof,omitempty"`
}

// TLS names the files of the certificates and keys. If all are empty, connections are plain TCP. With CertFile, callers
// may use TLS. With PeerCAFile, daemons accept each other's connections only with a certificate of that CA.
type TLS struct {
	CertFile   string `json:"certFile,omitempty" validate:"required_with=KeyFile PeerCAFile,omitempty,file"`
	KeyFile    string `json:"keyFile,omitempty" validate:"required_with=CertFile,omitempty,file"`
	PeerCAFile string `json:"peerCAFile,omitempty" validate:"omitempty,file"`
}

// Default returns the settings with their default values. A settings file replaces those that it names.
func Default() *Settings {
	return &Settings{
		Platform:  Platform{Timeout: clusterconfig.Duration(2 * time.Second)},
		Endpoints: Endpoints{User: "sycamorehub", ConnectTimeout: clusterconfig.Duration(2 * time.Second), Reserve: 2},
		Limits: Limits{
			CallerConnections: 20000,
			DrainGrace:        clusterconfig.Duration(2 * time.Second),
			Drain:             clusterconfig.Duration(clusterconfig.MaxLatency),
			Close:             clusterconfig.Duration(5 * time.Second),
		},
		Link:      Link{BitsPerSecond: 30_000_000},
		Placement: Placement{Stand: clusterconfig.Duration(placement.DefaultMinTenure)},
		Log:       Log{Level: "info", Format: "json"},
	}
}

// Load reads and validates the settings file at path, on top of the default values. Errors are of kind SettingsInvalid
// and name the file, and the line or key.
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

// Validate checks the ranges of all values. The error names the first field that is not valid and the rule for it.
func (s *Settings) Validate() error {
	err := validator.New().Struct(s)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		field := invalid[0]
		return fmt.Errorf("%s: value %v breaks the rule %s=%s", field.Namespace(), field.Value(), field.Tag(), field.Param())
	}
	return err
}

// Logger returns a logger to standard output with the level and format of the settings. Its entries carry the name of the
// VM.
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
