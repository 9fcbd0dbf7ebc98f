package main

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger that writes one JSON object per line, with the director's name in each. It drops messages
// below level, which is debug, info, warn or error; an empty or unknown level means info. Output is not buffered, so
// that the last lines before a SIGKILL are not lost.
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
