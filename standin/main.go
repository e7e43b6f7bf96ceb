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
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"skylarkstand/standin/engine"
	"skylarkstand/standin/platform"
	"skylarkstand/standin/rawupstream"
	"skylarkstand/standin/service"
	"skylarkstand/standin/store"
)

type args struct {
	Listen   string       `arg:"--listen,required" help:"address, as IP:port"`
	Store    *struct{}    `arg:"subcommand:store" help:"the platform's store"`
	Platform *platformCmd `arg:"subcommand:platform" help:"the host list and the rating service"`
	Engine   *engineCmd   `arg:"subcommand:engine" help:"a model engine"`
	Service  *serviceCmd  `arg:"subcommand:service" help:"a plain service"`
	Upstream *upstreamCmd `arg:"subcommand:upstream" help:"an upstream of the users' platform that keeps a journal of its runs"`
}

type upstreamCmd struct {
	ID       string        `arg:"--id,required"`
	Journal  string        `arg:"--journal,required" help:"file to which each begin and end of a run is appended"`
	Slots    int           `arg:"--slots" default:"8"`
	Work     time.Duration `arg:"--work" default:"30ms" help:"mean time to the begin of an answer"`
	Events   int           `arg:"--events" default:"6" help:"events of a stream"`
	Interval time.Duration `arg:"--interval" default:"30ms" help:"mean time between two events"`
	Seed     uint64        `arg:"--seed"`
	Refuse   float64       `arg:"--refuse" help:"share of requests that are refused without being run"`
	Repeat   float64       `arg:"--repeat" help:"share of answers before which the last one arrives once more"`
	Unnamed  float64       `arg:"--unnamed" help:"share of answers before which a refusal without an id arrives"`
	Lose     float64       `arg:"--lose" help:"share of requests that run and are not answered"`
	Fail     float64       `arg:"--fail" help:"share of requests that run and fail"`
	Unsure   float64       `arg:"--unsure" help:"share of streams with little confidence"`
	Any      float64       `arg:"--any" help:"share of requests with any answer that the protocol's grammar allows"`
	Stale    float64       `arg:"--stale" help:"share of answers before which an earlier answer to the same request arrives"`
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
	case ar.Upstream != nil:
		fmt.Fprintln(os.Stderr, ar.Upstream.serve(ar.Listen))
		os.Exit(1)
	default:
		ps.Fail("a subcommand is required: store, platform, engine, service or upstream")
	}
	srv := &http.Server{Addr: ar.Listen, Handler: ha, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, srv.ListenAndServe())
	os.Exit(1)
}

// serve runs an upstream of the users' platform until its listener fails.
func (cmd *upstreamCmd) serve(listen string) error {
	out, err := os.OpenFile(cmd.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	li, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	return rawupstream.New(rawupstream.Config{
		ID: cmd.ID, Slots: cmd.Slots, Work: cmd.Work, Events: cmd.Events, Interval: cmd.Interval, Seed: cmd.Seed,
		Faults: rawupstream.Faults{
			Refuse: cmd.Refuse, Repeat: cmd.Repeat, Unnamed: cmd.Unnamed, Lose: cmd.Lose, Fail: cmd.Fail, Unsure: cmd.Unsure, Any: cmd.Any, Stale: cmd.Stale,
		},
	}, out).Serve(li)
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
