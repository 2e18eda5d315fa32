package bundle_test

import (
	"bytes"
	"encoding/hex"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinepier/bundle"
	"clementinepier/job"
)

func example(t testing.TB) []byte {
	source, err := os.ReadFile("../bundle.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// Guards against an example file that is not a valid bundle.
func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	b, err := bundle.ParseAndCheck(example(t))
	is.NoErr(err)
	is.Equal(len(b.FailureDomains), 3)
	is.Equal(b.Organisations[0].Guarantees[0].Shape, job.Shape{Tasks: 2, Accelerators: 8, Slots: 1})
	b, err = bundle.Parse([]byte("revision = 1"))
	is.NoErr(err)
	is.Equal(b.ReclaimBound, bundle.DefaultReclaimBound)
}

// Guards against typing errors that silently leave a value at its default.
func TestParseFaultsNameLineAndKey(t *testing.T) {
	for name, test := range map[string]struct {
		source string
		want   string
	}{
		"unknown keys":            {"revision = 1\nwait = 2\n[[services]]\ntitle = 'a'", "line 2: wait: unknown key; line 4: services.title: unknown key"},
		"wrong type":              {"revision = 1\n[[organisations]]\nweight = 'x'", "line 3: organisations.weight: "},
		"duration without a unit": {"reclaim-bound = 5\n[[services]]\nmax-timeout = 5.5", "reclaim-bound: must be a duration in quotation marks, such as \"1.5s\"; services[0].max-timeout: must"},
		"key in capital letters":  {"revision = 1\n[[services]]\nName = 'a'", "services[0].Name: unknown key"},
		"negative revision":       {"revision = -1", "revision"},
		"not TOML":                {"revision = 1\n[", "line 2: source: "},
		"key given twice":         {"revision = 1\nrevision = 2", "revision"},
		"too large":               {strings.Repeat("#", bundle.MaxSourceSize+1), "at most 900000"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := bundle.Parse([]byte(test.source))
			is.True(bundle.IsErrBundleInvalid(err))
			t.Log(err)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

// Guards against accepting a bundle that cannot be served. Each case makes the example invalid in one way.
func TestCheckFindsFault(t *testing.T) {
	for want, invalidate := range map[string]func(b *bundle.Bundle){
		"revision: must be at least 1":  func(b *bundle.Bundle) { b.Revision = 0 },
		"reclaim-bound: is -1s":         func(b *bundle.Bundle) { b.ReclaimBound = -1e9 },
		"failure-domains: must have at": func(b *bundle.Bundle) { b.FailureDomains = nil },
		"failure-domains: has 101 entries": func(b *bundle.Bundle) {
			b.FailureDomains = append(b.FailureDomains, make([]bundle.FailureDomain, 98)...)
		},
		"organisations[0].name: must not be empty":                 func(b *bundle.Bundle) { b.Organisations[0].Name = "" },
		"organisations[0].name: \"a.b\\x1b\" must have":            func(b *bundle.Bundle) { b.Organisations[0].Name = "a.b\x1b" },
		"organisations.rally-club.name: \"rally-club\" is used":    func(b *bundle.Bundle) { b.Organisations[0].Name = "rally-club" },
		"organisations.rally-club.weight: is 0":                    func(b *bundle.Bundle) { b.Organisations[1].Weight = 0 },
		"organisations.rally-club.weight: is 100001":               func(b *bundle.Bundle) { b.Organisations[1].Weight = 100_001 },
		"rally-club.token-digest: must be a SHA-256":               func(b *bundle.Bundle) { b.Organisations[1].TokenDigest = strings.Repeat("A", 64) },
		"rally-club.token-digest: is the same as that of organisa": func(b *bundle.Bundle) { b.Organisations[1].TokenDigest = b.Organisations[0].TokenDigest },
		"rally-club.token-digest: is the digest of an empty token": func(b *bundle.Bundle) {
			b.Organisations[1].TokenDigest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
		},
		"guarantees.matching.name: \"matching\" is used":         func(b *bundle.Bundle) { b.Organisations[0].Guarantees[0].Name = "matching" },
		"guarantees.restoration.count: is 0":                     func(b *bundle.Bundle) { b.Organisations[0].Guarantees[0].Count = 0 },
		"guarantees.restoration.shape.tasks: is -2":              func(b *bundle.Bundle) { b.Organisations[0].Guarantees[0].Shape.Tasks = -2 },
		"guarantees.restoration.shape.slots: is 0":               func(b *bundle.Bundle) { b.Organisations[0].Guarantees[0].Shape.Slots = 0 },
		"guarantees.restoration.shape.accelerators: is -1":       func(b *bundle.Bundle) { b.Organisations[0].Guarantees[0].Shape.Accelerators = -1 },
		"guarantees.restoration.shape: fits no rack":             func(b *bundle.Bundle) { b.Organisations[0].Guarantees[0].Shape.Accelerators = 9 },
		"guarantees.matching.shape: fits no rack":                func(b *bundle.Bundle) { b.Organisations[0].Guarantees[1].Shape.Tasks = 49 },
		"restoration.count: is 13; the failure domains have roo": func(b *bundle.Bundle) { b.Organisations[0].Guarantees[0].Count = 13 },
		"register-tunis.guarantees: the guarantees of this organisation need 200 acc": func(b *bundle.Bundle) {
			b.Organisations[0].Guarantees[0].Count = 12
		},
		"organisations: the guarantees of all organisations together need 194 acc": func(b *bundle.Bundle) {
			b.Organisations[0].Guarantees[0].Count, b.Organisations[1].Guarantees[0].Count = 11, 5
		},
		"organisations: the guarantees of all organisations together need 194 slots": func(b *bundle.Bundle) {
			b.Organisations[0].Guarantees[0].Shape = job.Shape{Tasks: 6, Slots: 8}
			b.Organisations[0].Guarantees[0].Count = 3
			b.Organisations[1].Guarantees[0].Count = 42
		},
		"limits.none.service: service \"none\" does not exist":    func(b *bundle.Bundle) { b.Organisations[1].Limits[0].Service = "none" },
		"service: service \"reconciliation\" has more than one":   func(b *bundle.Bundle) { b.Organisations[0].Limits[0].Service = "reconciliation" },
		"limits.provenance.requests-per-second: is NaN":           func(b *bundle.Bundle) { b.Organisations[1].Limits[0].RequestsPerSecond = math.NaN() },
		"limits.provenance.requests-per-second: is +Inf":          func(b *bundle.Bundle) { b.Organisations[1].Limits[0].RequestsPerSecond = math.Inf(1) },
		"limits.provenance.running: is 0":                         func(b *bundle.Bundle) { b.Organisations[1].Limits[0].Running = 0 },
		"failure-domains.bizerte-b.name: \"bizerte-b\" is used":   func(b *bundle.Bundle) { b.FailureDomains[0].Name = "bizerte-b" },
		"failure-domains.tunis-a.region: \"\" must":               func(b *bundle.Bundle) { b.FailureDomains[0].Region = "" },
		"failure-domains.tunis-a.racks: must have":                func(b *bundle.Bundle) { b.FailureDomains[0].Racks = nil },
		"nabeul-c.racks.tunis-a-1.name: \"tunis-a-1\" is used":    func(b *bundle.Bundle) { b.FailureDomains[2].Racks[0].Name = "tunis-a-1" },
		"racks.tunis-a-1.workers: is 0":                           func(b *bundle.Bundle) { b.FailureDomains[0].Racks[0].Workers = 0 },
		"racks.tunis-a-1.slots: is -8":                            func(b *bundle.Bundle) { b.FailureDomains[0].Racks[0].Slots = -8 },
		"racks.tunis-a-1.accelerators: is -1":                     func(b *bundle.Bundle) { b.FailureDomains[0].Racks[0].Accelerators = -1 },
		"services.reconciliation.name: \"reconciliation\" is use": func(b *bundle.Bundle) { b.Services[0].Name = "reconciliation" },
		"services.provenance.default-timeout: is 11m0s, above":    func(b *bundle.Bundle) { b.Services[0].DefaultTimeout = 660e9 },
		"services.provenance.max-timeout: is 0s":                  func(b *bundle.Bundle) { b.Services[0].MaxTimeout = 0 },
		"services.provenance.max-payload: is 0":                   func(b *bundle.Bundle) { b.Services[0].MaxPayload = 0 },
	} {
		t.Run(want, func(t *testing.T) {
			b, err := bundle.ParseAndCheck(example(t))
			if err != nil {
				t.Fatal(err)
			}
			invalidate(b)
			faults := b.Check()
			for _, f := range faults {
				if strings.Contains(f.String(), want) {
					return
				}
			}
			t.Fatalf("not reported; faults are %v", faults)
		})
	}
}

// Guards against reporting only the first fault, so that operators would have to correct a bundle one fault at a time.
func TestCheckReportsAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	b := &bundle.Bundle{Organisations: []bundle.Organisation{{}, {}}, Services: []bundle.Service{{}}}
	keys := map[string]bool{}
	for _, f := range b.Check() {
		keys[f.Key] = true
	}
	is.Equal(len(keys), 13)
}

// Guards against an integer overflow that hides guarantees above the capacity.
func TestCheckDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	b, err := bundle.ParseAndCheck(example(t))
	is.NoErr(err)
	huge := bundle.Guarantee{Name: "huge", Count: 100_000, Shape: job.Shape{Tasks: 100_000, Accelerators: 100_000, Slots: 100_000}}
	for range 20_000 {
		b.Organisations[0].Guarantees = append(b.Organisations[0].Guarantees, huge)
	}
	found := false
	for _, f := range b.Check() {
		found = found || f.Key == "organisations.register-tunis.guarantees" && strings.Contains(f.Reason, "accelerators")
	}
	is.True(found)
}

// Guards against a diff that hides a change from the reviewer.
func TestDiffShowsEveryChange(t *testing.T) {
	is := is.New(t)
	before, err := bundle.ParseAndCheck(example(t))
	is.NoErr(err)
	after, err := bundle.ParseAndCheck(example(t))
	is.NoErr(err)
	is.Equal(len(bundle.Diff(before, after)), 0)
	after.Revision = 2
	after.Organisations[0].Guarantees[0].Count = 1
	after.Services = after.Services[:1]
	after.FailureDomains[0].Racks = append(after.FailureDomains[0].Racks, bundle.Rack{Name: "new", Workers: 1, Slots: 2})
	is.Equal(bundle.Diff(before, after), []string{
		"+ failure-domains.tunis-a.racks.new = 1 workers with 2 slots, 0 accelerators",
		"~ organisations.register-tunis.guarantees.restoration: 2 x (2 tasks, 8 accelerators, 1 slots) -> 1 x (2 tasks, 8 accelerators, 1 slots)",
		"~ revision: 1 -> 2",
		"- services.reconciliation = timeout 1h0m0s, at most 12h0m0s, payload at most 500000 bytes",
	})
	is.True(len(bundle.Diff(nil, after)) > 10)
}

// Guards against sources that make the parser panic.
func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Add([]byte("revision = 1\n[[organisations]]\nname = 'a'\nguarantees = [{shape = {tasks = 1}}]"))
	f.Add([]byte("reclaim-bound = ''\nservices = 1\x00"))
	f.Fuzz(func(t *testing.T, source []byte) {
		b, err := bundle.Parse(source)
		if err != nil {
			if !bundle.IsErrBundleInvalid(err) {
				t.Fatalf("untyped error %T", err)
			}
			return
		}
		b.Check()
		bundle.Diff(nil, b)
	})
}

// Guards against signed files that make the decoder panic or that change when encoded again.
func FuzzDecodeSigned(f *testing.F) {
	data, err := bundle.EncodeSigned(bundle.Signed{Source: example(f), Author: bundle.Signature{Key: "a", Value: []byte{1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"source":"YQ==","author":null}`))
	f.Add([]byte(`{"source":"YQ=="} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := bundle.DecodeSigned(data)
		if err != nil {
			if !bundle.IsErrSignedFileInvalid(err) {
				t.Fatalf("untyped error %T", err)
			}
			return
		}
		encoded, err := bundle.EncodeSigned(s)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := bundle.DecodeSigned(encoded); err != nil || !bytes.Equal(decoded.Source, s.Source) || decoded.Author.Key != s.Author.Key {
			t.Fatalf("differs after encoding: %v %s", err, hex.EncodeToString(data))
		}
	})
}
