package engine

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// completion is one completion in progress.
type completion struct {
	en           *Engine
	fa           Faults
	id           string
	tokens       int
	promptTokens int
	sent         int
}

// run writes the completion and reports whether it was written completely.
func (co *completion) run(w http.ResponseWriter, rq *http.Request, stream bool) bool {
	slow := time.Duration(max(co.fa.SlowFactor, 1))
	if !co.sleep(rq, co.en.cfg.TimeToFirstToken*slow) {
		return false
	}
	if !stream {
		return co.writeUnstreamed(w, rq, slow)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(w)
	for co.sent < co.tokens {
		if co.fa.CutAfter > 0 && co.sent >= co.fa.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if co.fa.MixStreams {
			_, _ = w.Write([]byte(chunk("foreign", "STRANGER ")))
		}
		co.sent++
		_, err := w.Write([]byte(chunk(co.id, fmt.Sprintf("w%d ", co.sent))))
		if err != nil || ctl.Flush() != nil {
			return false
		}
		if co.sent < co.tokens && !co.sleep(rq, co.en.cfg.TokenInterval*slow) {
			return false
		}
	}
	_, err := fmt.Fprintf(w, `data: {"id":"chatcmpl-%s","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", co.id, co.promptTokens, co.sent)
	return err == nil
}

// writeUnstreamed writes the completion as one response and reports whether it was written
// completely.
func (co *completion) writeUnstreamed(w http.ResponseWriter, rq *http.Request, slow time.Duration) bool {
	if !co.sleep(rq, co.en.cfg.TokenInterval*slow*time.Duration(co.tokens)) {
		return false
	}
	id := co.id
	if co.fa.MixStreams {
		id = "foreign"
	}
	var sb strings.Builder
	for co.sent < co.tokens {
		co.sent++
		fmt.Fprintf(&sb, "w%d ", co.sent)
	}
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, `{"id":"chatcmpl-%s","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"%s"}}],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`,
		id, sb.String(), co.promptTokens, co.sent)
	return err == nil
}

// sleep waits for d. It returns false if the request ends first.
func (co *completion) sleep(rq *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-rq.Context().Done():
		return false
	}
}
