package front

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/settings"
)

// fillTemplate returns the deployment's settings template with example values for its placeholders.
func fillTemplate(t *testing.T) string {
	t.Helper()
	template, err := os.ReadFile("../deploy/settings.template.toml")
	is.New(t).NoErr(err)
	values := map[string]string{
		"{{Node|json}}": `"front-a-1"`, "{{Zone|json}}": `"a"`, "{{Listen.Front|json}}": `"10.1.0.19:8521"`,
		"{{Listen.Ready|json}}": `"10.1.0.19:8523"`, "{{Ip}}": "10.1.0.19", "{{PortRange.0}}": "7000",
		"{{platform.Address|json}}": `"10.200.1.7:8524"`, "{{Limits.CpuShare}}": "0.4", "{{Limits.MaxFds}}": "4100", "{{Bounds.GraceS}}": "6",
		"{{Bounds.MaxHoldMs}}": "10000", "{{Bounds.StopGraceMs}}": "400", "{{Bounds.GangTimeoutMs}}": "3000",
		"{{Bounds.status_s}}": "120", "{{Bounds.ConfigApplyMs}}": "2000", "{{platform.MinTtlMs}}": "1000",
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, name, value)
	}
	if left := regexp.MustCompile(`\{\{[^}]*\}\}`).FindString(text); left != "" {
		t.Fatalf("the test has no example for %s", left)
	}
	return text
}

// Guards against a deployment template that the program rejects.
func TestDeploymentTemplateIsValid(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings([]byte(fillTemplate(t)))
	is.NoErr(err)
	is.Equal(s.Name, "front-a-1")
	is.Equal(s.Bounds.MaxLease.String(), "10s")
}

// Guards against starting with invalid settings, and against reporting only the first fault.
func TestAllSettingsFaultsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		from, to string
		faults   []string
	}{
		"missing name":     {`name = "front-a-1"`, "", []string{"name"}},
		"address by name":  {`"10.200.1.7:8524"`, `"store:8524"`, []string{"store-address"}},
		"no lease":         {`max-lease = "10000ms"`, `max-lease = "0s"`, []string{"bounds.max-lease"}},
		"two faults":       {"cores = 0.4", "cores = 0\n[log]\nverbosity = 11", []string{"cores", "log.verbosity"}},
		"negative lease":   {`min-store-lease = "1000ms"`, `min-store-lease = "-1s"`, []string{"bounds.min-store-lease"}},
		"negative budget":  {"cores = 0.4", "cores = 0.4\n[log]\nlines-per-second = -1", []string{"log.lines-per-second"}},
		"no cores at all":  {"cores = 0.4", "", []string{"cores"}},
		"no time to apply": {`apply-time = "2000ms"`, "", []string{"bounds.apply-time"}},
		"no open files":    {"max-files = 4100", "", []string{"max-files"}},
		"negative memory":  {"max-files = 4100", "max-files = 4100\nmax-memory-mb = -1", []string{"max-memory-mb"}},
		"no shutdown time": {`shutdown-grace = "6s"`, `shutdown-grace = "-1s"`, []string{"bounds.shutdown-grace"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := fillTemplate(t)
			is.True(strings.Contains(text, test.from))
			_, err := ParseSettings([]byte(strings.Replace(text, test.from, test.to, 1)))
			var invalid *settings.ErrSettingsInvalid
			is.True(errors.As(err, &invalid))
			var keys []string
			for _, f := range invalid.Faults {
				keys = append(keys, f.Key)
			}
			is.Equal(keys, test.faults)
		})
	}
}

// Guards against a misspelt key that is silently ignored.
func TestUnknownSettingIsRejected(t *testing.T) {
	_, err := ParseSettings([]byte(fillTemplate(t) + "\nno-such-bound = \"1s\"\n"))
	is.New(t).True(err != nil)
}
