package head_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/io/head"
)

func TestCheck(t *testing.T) {
	for _, sc := range []struct {
		testName, text string
		malformed      bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"neither", "HTTP/1.0 200 OK\r\n\r\n", false},
		{"fields in the body", "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\nTransfer-Encoding: chunked\r\nX Note: a\r\n\r\n", false},
		{"field in a folded line", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Note: a\r\n Transfer-Encoding: chunked\r\n\r\n", false},
		{"line ends without carriage returns", "HTTP/1.1 200 OK\nContent-Length: 0\n\nTransfer-Encoding: chunked\n", false},
		{"interim", "HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n", false},
		{"lowest status", "HTTP/1.1 100 Continue\r\n\r\n", false},
		{"highest status", "HTTP/1.1 599 Odd\r\n\r\n", false},
		{"status too low", "HTTP/1.1 099 Odd\r\n\r\n", true},
		{"status too high", "HTTP/1.1 600 Odd\r\n\r\n", true},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\n\r\n", true},
		{"another version", "HTTP/2.0 200 OK\r\n\r\n", true},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", true},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Note: 2\r\n\r\n", true},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"length of 0 and chunks", "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: chunked\r\ncontent-length: 0\r\n\r\n", true},
		{"chunks by HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"interim with a length", "HTTP/1.1 103 Early\r\nContent-Length: 5\r\n\r\n", true},
		{"interim with chunks", "HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			rs, err := http.ReadResponse(bufio.NewReader(strings.NewReader(sc.text)), nil)
			assert.NilError(t, err)
			rs.Body.Close()
			err = head.Check(rs, []byte(sc.text))
			assert.Equal(t, errors.Is(err, head.ErrMalformed), sc.malformed, "%v", err)
		})
	}
}
