package consensus

import (
	"fmt"
	"log/slog"
)

// quietLogger is a logger for raft. It logs errors at debug level and drops the rest, because the host reports the relevant events. It
// panics on fatal messages, which raft logs for states that it considers impossible.
type quietLogger struct{}

func (quietLogger) Debug(...any)            {}
func (quietLogger) Debugf(string, ...any)   {}
func (quietLogger) Info(...any)             {}
func (quietLogger) Infof(string, ...any)    {}
func (quietLogger) Warning(...any)          {}
func (quietLogger) Warningf(string, ...any) {}
func (quietLogger) Error(v ...any)          { slog.Debug("consensus", "error", fmt.Sprint(v...)) }
func (quietLogger) Errorf(f string, v ...any) {
	slog.Debug("consensus", "error", fmt.Sprintf(f, v...))
}
func (quietLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quietLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
