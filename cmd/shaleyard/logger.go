package main

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger that writes one JSON object a line, from a level on: debug, info, warn or error; "" is
// info. Nothing is buffered: a director may be killed at any moment, and its last line is the one that is wanted.
func newLogger(to io.Writer, level, name string) *zap.Logger {
	minLevel, err := zapcore.ParseLevel(level)
	if level == "" || err != nil {
		minLevel = zapcore.InfoLevel
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(to)), minLevel)
	return zap.New(core).With(zap.String("director", name))
}
