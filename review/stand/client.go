package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id, path, key, session, model string
	// body and part replace the usual body, and the id of the prompt's own part.
	body, part string
	deadline   time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	header http.Header
	// err is set if the answer is not complete.
	err error
}

const host = "ficu95.example"

// send sends a request to a gateway over a connection of its own.
func (wo *world) send(gw *gateway, req request) answer {
	rq, err := http.NewRequest(http.MethodPost, "http://"+gw.addr+req.path, strings.NewReader(cmp.Or(req.body, "body of "+req.id)))
	if err != nil {
		return answer{err: err}
	}
	rq.Host = host
	hd := rq.Header
	hd.Set("X-Skylarkstand-Attempt-Id", req.id)
	hd.Set("X-Skylarkstand-Deadline-Ms", fmt.Sprint(req.deadline.Milliseconds()))
	if req.key != "" {
		hd.Set("X-Skylarkstand-Key", req.key)
	}
	if req.session != "" {
		hd.Set("Session", req.session)
	}
	if req.model != "" {
		hd.Set("X-Skylarkstand-Model", req.model)
		hd.Set("X-Skylarkstand-Token-Usage", "26500,120")
		hd.Set("X-Skylarkstand-Prefix-Hash", "91bd3f06:13300,"+cmp.Or(req.part, partID(req.id))+":13200")
	}
	wo.logf("client sends %s to %s: POST %s, key %q, session %q", req.id, gw.name, req.path, req.key, req.session)
	an := exchange(rq, req.deadline)
	wo.logf("client got %s: status %d, %d bytes, error %v", req.id, an.status, len(an.body), an.err)
	return an
}

func exchange(rq *http.Request, deadline time.Duration) answer {
	cl := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	rs, err := cl.Do(rq)
	if err != nil {
		return answer{err: err}
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return answer{rs.StatusCode, string(data), rs.Header, err}
}

// partID returns the hexadecimal id of the part of a prompt that belongs to a request.
func partID(id string) string { return fmt.Sprintf("%x", id) }
