package main

import (
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"moleshift/internal/sock"
)

// serveMetrics tells the figures of all parts as text at one path.
func serveMetrics(l net.Listener, path string, parts ...func(w io.Writer)) error {
	s := &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, Logger: sock.Quiet{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != path {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			ctx.SetContentType("text/plain; version=0.0.4")
			for _, write := range parts {
				write(ctx)
			}
			metrics.WriteProcessMetrics(ctx)
		},
	}
	return s.Serve(l)
}
