// Package store is the HTTP client of the platform's key-value service. The wire format is an
// assumption until the users publish theirs; nothing outside this package depends on it.
//
// # Usage
//
//	st := store.New("http://127.0.0.1:9200")
//	it, err := st.Get(ctx, "configuration/1")
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"skylarkstand/core"
	"skylarkstand/io/limited"
	"skylarkstand/io/upstream"
)

// Store implements [core.Store].
type Store struct {
	url string
	cli *http.Client
}

const (
	dialTimeout = time.Second
	// callTimeout bounds a call. The store responds within milliseconds; one that takes longer than
	// this is treated as unavailable.
	callTimeout = 2 * time.Second
	// watchWait is how long one long poll of a watch waits for a change before it is renewed.
	watchWait = 25 * time.Second
)

// New returns a client for the store at a base URL.
func New(base string) *Store {
	return &Store{url: base, cli: &http.Client{Transport: upstream.NewTransport(upstream.Dialer(net.Dialer{Timeout: dialTimeout}))}}
}

func (st *Store) keyURL(key string, qu url.Values) string {
	return st.url + "/v1/keys/" + url.PathEscape(key) + "?" + qu.Encode()
}

type wireItem struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value"`
	Revision core.Revision `json:"revision"`
}

// call sends one request and decodes the response into out. If write is set, a lost response leaves
// the outcome uncertain.
func (st *Store) call(ctx context.Context, timeout time.Duration, method, target string, body []byte, write bool, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return core.ErrUnavailable
	}
	rs, err := st.cli.Do(rq)
	if err != nil {
		return callError(err, write)
	}
	defer rs.Body.Close()
	raw, err := limited.ReadAll(rs.Body, limited.MaxMessage)
	if err != nil {
		return callError(err, write)
	}
	switch rs.StatusCode {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if json.Unmarshal(raw, out) != nil {
			return callError(nil, write)
		}
		return nil
	case http.StatusNotFound:
		return core.ErrNotFound
	case http.StatusConflict:
		return core.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return core.ErrUnavailable
	default:
		return callError(nil, write)
	}
}

func callError(err error, write bool) error {
	var op *net.OpError
	if !write || errors.As(err, &op) && op.Op == "dial" {
		return core.ErrUnavailable
	}
	return core.ErrUncertain
}

// Get implements [core.Store].
func (st *Store) Get(ctx context.Context, key string) (core.Item, error) {
	var it wireItem
	err := st.call(ctx, callTimeout, http.MethodGet, st.keyURL(key, nil), nil, false, &it)
	return core.Item(it), err
}

// List implements [core.Store].
func (st *Store) List(ctx context.Context, prefix string) ([]core.Item, error) {
	var wis []wireItem
	err := st.call(ctx, callTimeout, http.MethodGet, st.url+"/v1/list?prefix="+url.QueryEscape(prefix), nil, false, &wis)
	its := make([]core.Item, len(wis))
	for i, wi := range wis {
		its[i] = core.Item(wi)
	}
	return its, err
}

// Create implements [core.Store].
func (st *Store) Create(ctx context.Context, key string, value []byte, lease core.LeaseID) (core.Revision, error) {
	var it wireItem
	err := st.call(ctx, callTimeout, http.MethodPut, st.keyURL(key, url.Values{"create": {"1"}, "lease": {string(lease)}}), value, true, &it)
	return it.Revision, err
}

// Swap implements [core.Store].
func (st *Store) Swap(ctx context.Context, key string, prev core.Revision, value []byte) (core.Revision, error) {
	var it wireItem
	err := st.call(ctx, callTimeout, http.MethodPut, st.keyURL(key, prevQuery(prev)), value, true, &it)
	return it.Revision, err
}

// Delete implements [core.Store].
func (st *Store) Delete(ctx context.Context, key string, prev core.Revision) error {
	return st.call(ctx, callTimeout, http.MethodDelete, st.keyURL(key, prevQuery(prev)), nil, true, nil)
}

func prevQuery(prev core.Revision) url.Values {
	return url.Values{"prev": {strconv.FormatUint(uint64(prev), 10)}}
}

// Watch implements [core.Store] by long polling.
func (st *Store) Watch(ctx context.Context, key string, after core.Revision) (core.Item, error) {
	qu := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {watchWait.String()}}
	target := st.url + "/v1/watch/" + url.PathEscape(key) + "?" + qu.Encode()
	for {
		var it wireItem
		err := st.call(ctx, watchWait+callTimeout, http.MethodGet, target, nil, false, &it)
		switch {
		case ctx.Err() != nil:
			return core.Item{}, ctx.Err()
		case errors.Is(err, core.ErrNotFound):
			continue // The long poll ended without a change.
		default:
			return core.Item(it), err
		}
	}
}

// Grant implements [core.Store].
func (st *Store) Grant(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	var out struct{ Lease core.LeaseID }
	err := st.call(ctx, callTimeout, http.MethodPost, st.url+"/v1/leases?ttl="+ttl.String(), nil, true, &out)
	return out.Lease, err
}

// Renew implements [core.Store].
func (st *Store) Renew(ctx context.Context, lease core.LeaseID) error {
	return st.call(ctx, callTimeout, http.MethodPost, st.url+"/v1/leases/"+url.PathEscape(string(lease))+"/renew", nil, true, nil)
}
