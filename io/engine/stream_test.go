package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

const attempt = core.AttemptID("a1")

func sse(id, text string) string {
	return fmt.Sprintf("data: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, text)
}

// piped returns a stream whose engine is the test.
func piped() (*stream, *io.PipeWriter) {
	rd, wr := io.Pipe()
	return newStream(New(core.NewDeps(), "http://127.0.0.1:1"), &http.Response{Body: rd}, attempt), wr
}

// An engine sends one token and takes its time for the next. Were the first
// one held until the second came, a caller would see every token late by one,
// and the first token of a slow answer much too late.
func TestTokenGoesOnBeforeTheNextArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sm, wr := piped()
		go func() { _, _ = wr.Write([]byte(sse("a1", "one"))) }()
		got, err := sm.Next() // Blocks for good, which synctest reports, if the token is held.
		assert.NilError(t, err)
		assert.Equal(t, string(got), sse("a1", "one"))
		wr.Close()
	})
}

// An engine that resumes streams puts a late event of another request onto the
// connection. The caller would read a stranger's words within its own answer.
func TestForeignEventIsDropped(t *testing.T) {
	sm, wr := piped()
	go func() {
		_, _ = wr.Write([]byte(sse("a1", "mine") + sse("other", "STRANGER") + sse("a1", "too") + "data: [DONE]\n\n"))
	}()
	var all string
	for {
		got, err := sm.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		all += string(got)
	}
	assert.Equal(t, all, sse("a1", "mine")+sse("a1", "too")+"data: [DONE]\n\n")
	assert.Equal(t, sm.Usage().Generated, core.Tokens(2))
}

// An engine's host goes down in the middle of an answer and the connection
// closes in good order. Taken for the end, the half answer would look whole to
// the caller and be billed as one.
func TestStreamWithoutEndMarkIsCut(t *testing.T) {
	hs := httptest.NewServer(http.NotFoundHandler()) // The engine is still there.
	defer hs.Close()
	sm, wr := piped()
	sm.eng = New(core.NewDeps(), hs.URL)
	go func() {
		_, _ = wr.Write([]byte(sse("a1", "half")))
		wr.Close()
	}()
	_, err := sm.Next()
	assert.NilError(t, err)
	_, err = sm.Next()
	var fl *core.Failure
	assert.Assert(t, errors.As(err, &fl))
	assert.Equal(t, fl.Ran, core.RanUnknown)
}

// The engine's process goes down in the middle of an answer. Reported as a
// mere cut, the request would be sent to the next engine and take it down too.
func TestCutByACrashIsToldApart(t *testing.T) {
	hs := httptest.NewServer(http.NotFoundHandler())
	base := hs.URL
	hs.Close()
	sm, wr := piped()
	sm.eng = New(core.NewDeps(), base)
	wr.Close()
	_, err := sm.Next()
	var fl *core.Failure
	assert.Assert(t, errors.As(err, &fl))
	assert.Equal(t, fl.Code, core.CodeCrashed)
}

// A process that goes down closes its connections one by one, and for a moment
// still accepts new ones without answering them. The caller's request crashed
// the engine; taken for a broken call it would be sent on as harmless.
func TestEngineThatAcceptsButIsGone(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer li.Close()
	go func() {
		for {
			conn, err := li.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	sm, wr := piped()
	sm.eng = New(core.NewDeps(), "http://"+li.Addr().String())
	wr.Close()
	_, err = sm.Next()
	var fl *core.Failure
	assert.Assert(t, errors.As(err, &fl))
	assert.Equal(t, fl.Code, core.CodeCrashed)
}
