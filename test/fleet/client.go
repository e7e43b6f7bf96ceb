package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Reply is the response to a request, or the part of it that arrived.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Complete is set when a stream arrived with its end marker, or when another response
	// has status 200 and its body was read to the end.
	Complete bool
	// Text is the text of a completion.
	Text string
	// Error is the product's typed error, if the response has one.
	Error struct {
		Code       string  `json:"code"`
		Ran        string  `json:"ran"`
		Message    string  `json:"message"`
		RetryAfter float64 `json:"retry-after"`
	}
}

// Chat requests a completion.
func Chat(url, key, model, prompt string, stream bool, header map[string]string) (*Reply, error) {
	body, err := chatBody(model, prompt, stream)
	if err != nil {
		return nil, err
	}
	return Post(url+"/v1/chat/completions", key, body, header)
}

func chatBody(model, prompt string, stream bool) ([]byte, error) {
	return json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
}

// Call calls an operation of a plain service.
func Call(url, key, path, idempotencyKey string, body []byte) (*Reply, error) {
	return Post(url+"/v1/services/"+path, key, body, map[string]string{"Idempotency-Key": idempotencyKey})
}

// Post sends a request and reads the response to its end.
func Post(url, key string, body []byte, header map[string]string) (*Reply, error) {
	rq, err := newPost(url, key, body, header)
	if err != nil {
		return nil, err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, err
	}
	defer rs.Body.Close()
	return ReadReply(rs), nil
}

// ReadReply reads a response to its end.
func ReadReply(rs *http.Response) *Reply { return readResponse(rs, func(int) {}) }

func readResponse(rs *http.Response, onToken func(int)) *Reply {
	re := &Reply{Status: rs.StatusCode, Header: rs.Header}
	if strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		re.readEvents(rs.Body, onToken)
	} else {
		re.readBody(rs.Body)
	}
	return re
}

// StreamChat streams a completion and calls onToken for each token that arrives, with the
// number of tokens received so far.
func StreamChat(url, key, model, prompt, id string, onToken func(int)) (*Reply, error) {
	body, err := chatBody(model, prompt, true)
	if err != nil {
		return nil, err
	}
	rq, err := newPost(url+"/v1/chat/completions", key, body, map[string]string{"X-Request-Id": id})
	if err != nil {
		return nil, err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, err
	}
	defer rs.Body.Close()
	return readResponse(rs, onToken), nil
}

func newPost(url, key string, body []byte, header map[string]string) (*http.Request, error) {
	rq, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	rq.Header.Set("Authorization", "Bearer "+key)
	rq.Header.Set("Content-Type", "application/json")
	for name, val := range header {
		if val != "" {
			rq.Header.Set(name, val)
		}
	}
	rq.GetBody = nil // Prevents the client's own silent retries, which would hide a fault.
	return rq, nil
}

func (re *Reply) readBody(rd io.Reader) {
	raw, err := io.ReadAll(rd)
	re.Body, re.Complete = raw, err == nil && re.Status == http.StatusOK
	var body struct {
		Choices []struct {
			Message struct{ Content string }
		}
		Error json.RawMessage
	}
	if json.Unmarshal(raw, &body) != nil {
		return
	}
	if len(body.Choices) > 0 {
		re.Text = body.Choices[0].Message.Content
	}
	_ = json.Unmarshal(body.Error, &re.Error)
}

func (re *Reply) readEvents(rd io.Reader, onToken func(int)) {
	tokens := 0
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		re.Body = append(append(re.Body, data...), '\n')
		if data == "[DONE]" {
			re.Complete = true
			continue
		}
		var ev struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   json.RawMessage
		}
		if json.Unmarshal([]byte(data), &ev) != nil {
			continue
		}
		if len(ev.Choices) > 0 {
			re.Text += ev.Choices[0].Delta.Content
			tokens++
			onToken(tokens)
		}
		if ev.Error != nil {
			_ = json.Unmarshal(ev.Error, &re.Error)
		}
	}
}

// String describes the reply in one line.
func (re *Reply) String() string {
	if re.Error.Code != "" {
		return fmt.Sprintf("%d %s (%s), retry after %.0f s: %s", re.Status, re.Error.Code, re.Error.Ran, re.Error.RetryAfter, re.Error.Message)
	}
	return fmt.Sprintf("%d from %s, whole %v, %d words", re.Status, re.Header.Get("Skylarkstand-Version"), re.Complete, len(strings.Fields(re.Text)))
}

// GetJSON decodes a JSON resource of a stand-in, such as its journal.
func GetJSON(url string, out any) error {
	rs, err := http.Get(url)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	return json.NewDecoder(rs.Body).Decode(out)
}

// PostFaults sets the injected faults of a stand-in; body is their JSON.
func PostFaults(url, body string) error {
	rs, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	return rs.Body.Close()
}
