// Standin is a small program that replaces the systems around skylarkstand: the
// platform's store, host list and rating service, model engines and plain
// services. The demonstration, tests and measurements use it.
//
// # Usage
//
//	standin --listen 127.0.0.1:9200 store
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"skylarkstand/standin/engine"
	"skylarkstand/standin/platform"
	"skylarkstand/standin/service"
	"skylarkstand/standin/store"
)

type args struct {
	Listen   string       `arg:"--listen,required" help:"address, as IP:port"`
	Store    *struct{}    `arg:"subcommand:store" help:"the platform's store"`
	Platform *platformCmd `arg:"subcommand:platform" help:"the host list and the rating service"`
	Engine   *engineCmd   `arg:"subcommand:engine" help:"a model engine"`
	Service  *serviceCmd  `arg:"subcommand:service" help:"a plain service"`
}

type platformCmd struct {
	Quality []string `arg:"--quality,separate" help:"model@version=quality, may repeat"`
}

type engineCmd struct {
	Slots   int           `arg:"--slots" default:"8"`
	First   time.Duration `arg:"--first" default:"5ms" help:"time to the first token"`
	Pace    time.Duration `arg:"--pace" default:"2ms" help:"time between two tokens"`
	Words   int           `arg:"--words" default:"16" help:"tokens of a usual answer"`
	Fencing bool          `arg:"--fencing" help:"refuse orders with an old fencing number"`
}

type serviceCmd struct {
	Takes time.Duration `arg:"--takes" default:"5ms" help:"time that an operation takes"`
}

func main() {
	var ar args
	ps := arg.MustParse(&ar)
	var ha http.Handler
	switch {
	case ar.Store != nil:
		ha = store.New()
	case ar.Platform != nil:
		ha = platform.New(parseQualities(ps, ar.Platform.Quality))
	case ar.Engine != nil:
		en := ar.Engine
		ha = engine.New(engine.Config{Slots: en.Slots, TimeToFirstToken: en.First, TokenInterval: en.Pace, DefaultTokens: en.Words, CheckFencing: en.Fencing})
	case ar.Service != nil:
		ha = service.New(ar.Service.Takes)
	default:
		ps.Fail("a subcommand is required: store, platform, engine or service")
	}
	srv := &http.Server{Addr: ar.Listen, Handler: ha, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, srv.ListenAndServe())
	os.Exit(1)
}

func parseQualities(ps *arg.Parser, list []string) map[string]float64 {
	out := map[string]float64{}
	for _, el := range list {
		name, val, _ := strings.Cut(el, "=")
		q, err := strconv.ParseFloat(val, 64)
		if err != nil {
			ps.Fail(fmt.Sprintf("invalid --quality %q: write it as model@version=0.8", el))
		}
		out[name] = q
	}
	return out
}
