package logbuffer

import (
	"io"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/rs/zerolog/diode"
)

// statementPrefix begins the messages about single statements.
const statementPrefix = "statement_"

// Sizes of the buffers, in lines.
const (
	statementLines = 512
	otherLines     = 2048
)

// Config describes a Logger.
type Config struct {
	// Writer takes the lines, in JSON; its Write may block.
	Writer io.Writer
	// Dropped, if set, is called with the number of lines of a class that were dropped, before the next line of the class is
	// written.
	Dropped func(class string, lines int)
}

// Logger is a log.Logger that never waits for its writer; it is safe for concurrent use.
type Logger struct {
	statements, others diode.Writer
	statementLogger    log.Logger
	otherLogger        log.Logger
}

// New returns a logger; Close ends its goroutines.
func New(cfg Config) *Logger {
	out := log.NewSyncWriter(cfg.Writer)
	reports := log.NewJSONLogger(out)
	open := func(class string, lines int) diode.Writer {
		return diode.NewWriter(out, lines, 0, func(missed int) {
			if cfg.Dropped != nil {
				cfg.Dropped(class, missed)
			}
			// If the line cannot be written, neither can any other.
			_ = reports.Log("level", "warn", "msg", "log_lines_dropped", "ts", time.Now().UTC().Format(time.RFC3339Nano), "class", class, "lines", missed)
		})
	}
	l := &Logger{statements: open("statements", statementLines), others: open("others", otherLines)}
	l.statementLogger, l.otherLogger = log.NewJSONLogger(l.statements), log.NewJSONLogger(l.others)
	return l
}

// Log buffers a line with the given keys and values; it fails only if they cannot be encoded.
func (l *Logger) Log(keyvals ...any) error {
	for n := 0; n+1 < len(keyvals); n += 2 {
		if keyvals[n] != "msg" {
			continue
		}
		if text, ok := keyvals[n+1].(string); ok && strings.HasPrefix(text, statementPrefix) {
			return l.statementLogger.Log(keyvals...)
		}
	}
	return l.otherLogger.Log(keyvals...)
}

// Close writes the buffered lines, and returns once that is done or timeout has passed; nothing may be logged afterwards.
func (l *Logger) Close(timeout time.Duration) error {
	ended := make(chan error, 2)
	for _, w := range []diode.Writer{l.others, l.statements} {
		go func() { ended <- w.Close() }()
	}
	expired := time.After(timeout)
	for range 2 {
		select {
		case err := <-ended:
			if err != nil {
				return err
			}
		case <-expired:
			return nil
		}
	}
	return nil
}
