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
func (an *completion) run(w http.ResponseWriter, rq *http.Request, stream bool) bool {
	slow := time.Duration(max(an.fa.SlowFactor, 1))
	if !an.sleep(rq, an.en.cfg.TimeToFirstToken*slow) {
		return false
	}
	if !stream {
		return an.writeUnstreamed(w, rq, slow)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(w)
	for an.sent < an.tokens {
		if an.fa.CutAfter > 0 && an.sent >= an.fa.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if an.fa.MixStreams {
			_, _ = w.Write([]byte(chunk("foreign", "STRANGER ")))
		}
		an.sent++
		_, err := w.Write([]byte(chunk(an.id, fmt.Sprintf("w%d ", an.sent))))
		if err != nil || ctl.Flush() != nil {
			return false
		}
		if an.sent < an.tokens && !an.sleep(rq, an.en.cfg.TokenInterval*slow) {
			return false
		}
	}
	_, err := fmt.Fprintf(w, `data: {"id":"chatcmpl-%s","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", an.id, an.promptTokens, an.sent)
	return err == nil
}

// writeUnstreamed writes the completion as one response and reports whether it was written
// completely.
func (an *completion) writeUnstreamed(w http.ResponseWriter, rq *http.Request, slow time.Duration) bool {
	if !an.sleep(rq, an.en.cfg.TokenInterval*slow*time.Duration(an.tokens)) {
		return false
	}
	id := an.id
	if an.fa.MixStreams {
		id = "foreign"
	}
	var sb strings.Builder
	for an.sent < an.tokens {
		an.sent++
		fmt.Fprintf(&sb, "w%d ", an.sent)
	}
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, `{"id":"chatcmpl-%s","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"%s"}}],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`,
		id, sb.String(), an.promptTokens, an.sent)
	return err == nil
}

// sleep waits for d. It returns false if the request ends first.
func (an *completion) sleep(rq *http.Request, d time.Duration) bool {
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
