package consensus

import (
	"fmt"
	"log/slog"
)

// quietLogger drops what raft logs, as the host reports what matters, but for errors. What raft takes for impossible is a panic.
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
