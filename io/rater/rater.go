// Package rater is the HTTP client of the service that rates answers.
//
// # Usage
//
//	got, err := rater.New("http://127.0.0.1:9400").Rate(ctx, mv, prompt, answer)
package rater

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/io/limited"
	"skylarkstand/io/upstream"
)

// Rater implements [core.Rater].
type Rater struct {
	url string
	cli *http.Client
}

// New returns a client for the rating service at a base URL.
func New(base string) *Rater {
	return &Rater{url: base, cli: &http.Client{Transport: upstream.NewTransport(upstream.Dialer(net.Dialer{Timeout: dialTimeout}))}}
}

const dialTimeout = 2 * time.Second

type ratingRequest struct {
	Model   core.ModelID   `json:"model"`
	Version core.VersionID `json:"version"`
	Prompt  []byte         `json:"prompt"`
	Answer  []byte         `json:"answer"`
}

// Rate implements [core.Rater].
func (ra *Rater) Rate(ctx context.Context, mv core.ModelVersion, prompt, answer []byte) (core.Quality, error) {
	raw, err := json.Marshal(ratingRequest{mv.Model, mv.Version, prompt, answer})
	if err != nil {
		return 0, eris.Wrap(err, "rating")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, ra.url+"/v1/rate", bytes.NewReader(raw))
	if err != nil {
		return 0, eris.Wrap(err, "rating")
	}
	rs, err := ra.cli.Do(rq)
	if err != nil {
		return 0, eris.Wrap(err, "rating")
	}
	defer rs.Body.Close()
	var out struct{ Quality core.Quality }
	if rs.StatusCode != http.StatusOK {
		return 0, eris.Errorf("rating: the rating service responded with status %s", rs.Status)
	}
	if err := limited.DecodeJSON(rs.Body, &out); err != nil {
		return 0, eris.Wrap(err, "rating")
	}
	return out.Quality, nil
}
