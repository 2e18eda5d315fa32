// Package cmd implements the command-line interface.
package cmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/front"
	"clementinepier/settings"
)

const programName = "clementinepier"

// Program is the command-line program with its dependencies. The fields must be set before Main is called.
type Program struct {
	// Entry runs an entry VM until ctx is done; nil makes the subcommand fail.
	Entry func(ctx context.Context, s *settings.Settings) error
	// Front runs an entry VM on the users' platform until ctx is done; nil makes the subcommand fail. path is the settings
	// file, which is read again when it may have changed.
	Front func(ctx context.Context, s *front.Settings, path string) error
	// Clock is the source of time for waits and retries.
	Clock clockwork.Clock
	// HTTP is the client for calls to entry VMs.
	HTTP *http.Client
	// Random is the source of keys and ids.
	Random io.Reader
	// Stdin is read where a file is given as "-".
	Stdin io.Reader
}

// New returns a program with the dependencies for production use. Entry and Front are nil.
func New() *Program {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext,
		// On a reused connection that breaks, the transport would repeat some calls by itself. Only this package retries,
		// so that the number of attempts is known.
		DisableKeepAlives: true,
	}
	return &Program{
		Clock:  clockwork.NewRealClock(),
		HTTP:   &http.Client{Transport: transport},
		Random: rand.Reader,
		Stdin:  os.Stdin,
	}
}

// Main runs the command line with the dependencies of New and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int { return New().Main(args, stdout, stderr) }

// subcommand is a command that can be run, unlike a group of commands.
type subcommand interface {
	run(ctx context.Context, s *invocation) error
	// example returns a command line for the help text, without the program's name.
	example() string
}

// invocation is one run of a subcommand.
type invocation struct {
	*Program
	stdout, stderr io.Writer
}

type arguments struct {
	Key      *keyGroup       `arg:"subcommand:key" help:"signing keys"`
	Bundle   *bundleGroup    `arg:"subcommand:bundle" help:"check, sign, review, show and roll out bundles"`
	Domain   *domainGroup    `arg:"subcommand:domain" help:"take failure domains out of service and back"`
	Request  *requestGroup   `arg:"subcommand:request" help:"submit, watch and cancel requests"`
	Status   *statusCommand  `arg:"subcommand:status" help:"show the state of entry VMs"`
	Settings *settingsGroup  `arg:"subcommand:settings" help:"settings of an entry VM"`
	Entry    *entryCommand   `arg:"subcommand:entry" help:"run an entry VM"`
	Front    *frontCommand   `arg:"subcommand:front" help:"run an entry VM on the users' platform"`
	Explain  *explainCommand `arg:"subcommand:explain" help:"tell where a job would go now, and why, without submitting it"`
	Story    *storyCommand   `arg:"subcommand:story" help:"print what saved logs tell of a job, in order"`
	Version  *versionCommand `arg:"subcommand:version" help:"show the version"`
}

type keyGroup struct {
	New *keyNewCommand `arg:"subcommand:new" help:"write a new private key file and its public key file"`
}

type bundleGroup struct {
	Check  *bundleCheckCommand  `arg:"subcommand:check" help:"report every fault of a bundle source"`
	Sign   *bundleSignCommand   `arg:"subcommand:sign" help:"sign a bundle source as its author"`
	Review *bundleReviewCommand `arg:"subcommand:review" help:"show what a signed bundle changes and sign it as reviewer"`
	Show   *bundleShowCommand   `arg:"subcommand:show" help:"show a bundle, from a file or in force"`
	Roll   *bundleRollCommand   `arg:"subcommand:roll" help:"roll out a signed bundle"`
}

type domainGroup struct {
	Out  *domainOutCommand  `arg:"subcommand:out" help:"take a failure domain out of service"`
	Back *domainBackCommand `arg:"subcommand:back" help:"bring a failure domain back into service"`
	List *domainListCommand `arg:"subcommand:list" help:"list failure domains and their orders"`
}

type requestGroup struct {
	Submit *requestSubmitCommand `arg:"subcommand:submit" help:"submit a request and wait for its outcome"`
	Show   *requestShowCommand   `arg:"subcommand:show" help:"show where a request is"`
	Result *requestResultCommand `arg:"subcommand:result" help:"print the answer of a request that has ended"`
	Cancel *requestCancelCommand `arg:"subcommand:cancel" help:"cancel a request"`
}

type settingsGroup struct {
	Check *settingsCheckCommand `arg:"subcommand:check" help:"report every fault of a settings file"`
}

// Main runs the command line and returns the exit code. SIGINT and SIGTERM cancel the command's context.
func (p *Program) Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: programName, Out: stderr, Exit: func(int) {}}, &parsed)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return ExitFailed
	}
	if len(args) == 1 && args[0] == "--version" {
		args = []string{"version"}
	}
	err = parser.Parse(args)
	command, runnable := parser.Subcommand().(subcommand)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		if runnable {
			_, _ = fmt.Fprintf(stdout, "\nExample:\n  %s %s\n", programName, command.example())
		}
		_, _ = fmt.Fprintf(stdout, "\n%s\n", exitCodeHelp)
		return ExitOK
	case err == nil && !runnable:
		err = errors.New("a command is missing; --help lists them")
		fallthrough
	case err != nil:
		parser.WriteUsage(stderr)
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	s := &invocation{Program: p, stdout: stdout, stderr: stderr}
	err = command.run(ctx, s)
	s.reportError(err)
	return exitCode(err)
}

// reportError prints an error. If it lists the faults of an invalid bundle or settings file, each fault is printed on
// its own line instead.
func (s *invocation) reportError(err error) {
	var badBundle *bundle.ErrBundleInvalid
	var badSettings *settings.ErrSettingsInvalid
	var refused *ErrRefused
	var faults []bundle.Fault
	switch {
	case err == nil:
		return
	case errors.As(err, &badBundle):
		faults = badBundle.Faults
	case errors.As(err, &badSettings):
		faults = badSettings.Faults
	case errors.As(err, &refused) && len(refused.Reply.Faults) > 0:
		faults = refused.Reply.Faults
	}
	if len(faults) == 0 {
		s.note("error: %s", err)
		return
	}
	for _, f := range faults {
		s.note("error: %s", f)
	}
}

// print writes a line of the result to standard output.
func (s *invocation) print(format string, args ...any) {
	_, _ = fmt.Fprintf(s.stdout, format+"\n", args...)
}

// note writes a line that is not part of the result, such as progress or an error, to standard error.
func (s *invocation) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.stderr, format+"\n", args...)
}

// printJSON writes the result as JSON to standard output.
func (s *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write result")
}

// newID returns a random 128-bit id, long enough that no two callers choose the same.
func (s *invocation) newID() (string, error) {
	id := make([]byte, 16)
	if _, err := io.ReadFull(s.Random, id); err != nil {
		return "", errors.Wrap(err, "choose id")
	}
	return hex.EncodeToString(id), nil
}

// maxInputSize limits the size in bytes of files and answers that are read into memory. It is far above that of any
// valid one.
const maxInputSize = 64 << 20

// readFile reads a file, or the standard input for "-".
func (s *invocation) readFile(path string) ([]byte, error) {
	if path == "-" {
		return readBounded(s.Stdin, path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readBounded(f, path)
}

func readBounded(r io.Reader, path string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxInputSize+1))
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if len(data) > maxInputSize {
		return nil, errors.Errorf("%s: has more than %d bytes", path, maxInputSize)
	}
	return data, nil
}
