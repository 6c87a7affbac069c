package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/opclnt"
)

const (
	// Exit codes, for scripts. The help lists them, and they never change.
	exitOK         = 0
	exitFailed     = 1
	exitInvalid    = 2
	exitNotFound   = 3
	exitConflict   = 4
	exitNotRun     = 5
	exitUnknown    = 6
	exitIncomplete = 7

	description = `The rollout service lavendermux: its programs, and the operators' command line.

Exit codes: 0 done; 1 failed; 2 invalid input or usage; 3 not found; 4 conflict, the resource has a newer revision;
5 not run, try again later; 6 outcome unknown, check with "status" before trying again; 7 not in force on all instances
yet, or instances differ.`
)

type (
	// globals are the flags of all commands that query entries.
	globals struct {
		Entries   []string      `name:"entry" placeholder:"URL" default:"http://127.0.0.1:8080" env:"LAVENDERMUX_ENTRY" help:"URL of an entry or the load balancer; several for a report (${default})."`
		TokenFile string        `placeholder:"FILE" env:"LAVENDERMUX_TOKEN_FILE" help:"File that holds the operator's token."`
		Timeout   time.Duration `default:"60s" help:"How long to wait for a response (${default})."`
	}

	// session is the environment that a command runs in.
	session struct {
		ctx context.Context
		// hangups receives SIGHUP from the start of the program; nil for commands that
		// don't catch it.
		hangups chan os.Signal
		in      io.Reader
		out     io.Writer
		errOut  io.Writer
		flags   *globals
	}

	// exitPanic is the exit code that the parser panics with after it has printed help.
	exitPanic int
)

// run runs the command line and returns its exit code.
func run(s *session, args []string) (code int) {
	defer func() {
		if recovered, ok := recover().(exitPanic); ok {
			code = int(recovered)
		}
	}()
	var cli commands
	s.flags = &cli.globals
	parser, err := kong.New(&cli,
		kong.Name("lavendermux"),
		kong.Description(description),
		kong.Writers(s.out, s.errOut),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return s.report(err)
	}
	kctx, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(s.errOut, "lavendermux: %v\nTry \"lavendermux --help\".\n", err)
		return exitInvalid
	}
	kctx.BindTo(s.ctx, (*context.Context)(nil))
	return s.report(kctx.Run(s))
}

// report prints err and returns its exit code.
func (s *session) report(err error) int {
	if err == nil {
		return exitOK
	}
	var fields *fault.FieldsError
	if errors.As(err, &fields) {
		for _, f := range fields.Fields {
			_, _ = fmt.Fprintf(s.errOut, "lavendermux: %s\n", strings.TrimPrefix(f.Error(), ": "))
		}
		return exitInvalid
	}
	_, _ = fmt.Fprintf(s.errOut, "lavendermux: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		field    *fault.FieldError
		notFound *fault.NotFoundError
		conflict *fault.ConflictError
		notRun   *fault.NotRunError
		unknown  *fault.UnknownOutcomeError
		pending  *notInForceError
		problems *unhealthyError
	)
	switch {
	case errors.As(err, &field):
		return exitInvalid
	case errors.As(err, &notFound):
		return exitNotFound
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &notRun):
		return exitNotRun
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &pending), errors.As(err, &problems):
		return exitIncomplete
	}
	return exitFailed
}

// client returns a client of the first entry.
func (s *session) client() (*opclnt.Client, error) {
	return s.clientOf(s.flags.Entries[0])
}

func (s *session) clientOf(entry string) (*opclnt.Client, error) {
	token, err := s.token()
	if err != nil {
		return nil, err
	}
	notice := func(text string) { _, _ = fmt.Fprintf(s.errOut, "lavendermux: note: %s\n", text) }
	return opclnt.New(entry, opclnt.WithToken(token), opclnt.WithOnNotice(notice)), nil
}

// token reads the operator's token. It must never be printed.
func (s *session) token() (string, error) {
	if s.flags.TokenFile == "" {
		return "", nil
	}
	raw, err := os.ReadFile(s.flags.TokenFile)
	if err != nil {
		return "", &fault.FieldError{Field: "--token-file", Problem: err.Error()}
	}
	return strings.TrimSpace(string(raw)), nil
}

// timeout returns a context with the timeout of the --timeout flag.
func (s *session) timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.flags.Timeout)
}

func (s *session) print(text string) {
	_, _ = io.WriteString(s.out, text)
}

func (s *session) printJSON(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the output")
	}
	s.print(string(raw) + "\n")
	return nil
}

// printLine prints v as JSON on one line.
func (s *session) printLine(v any) {
	if raw, err := json.Marshal(v); err == nil {
		s.print(string(raw) + "\n")
	}
}
