package answers

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// faultCut is the fault of an answer that ends before its end.
const faultCut = "cut"

// spoil changes the parts of a sound answer so that they break the grammar, or cuts it if that is wanted, and returns how.
func spoil(rnd *rand.Rand, pa *parts, cuts bool) string {
	inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len("inner"), "inner")
	for {
		switch rnd.IntN(10) {
		case 0:
			pa.status = pick(rnd, "000", "099", "+20", "-20", "0", "20", "600", "999", "2000", "abc", "2.0", "")
			if rnd.IntN(2) == 0 {
				pa.body = inner // Taken for an interim answer, it hides what follows.
			}
			return "status " + pa.status
		case 1:
			pa.status, pa.reason = "101", " Switching Protocols"
			return "an upgrade that nobody asked for"
		case 2:
			pa.version = pick(rnd, "HTTP/2.0", "HTTP/0.9", "HTTP/3.1", "HTTP/1.x", "HTTP", "http/1.1", "HTTPS/1.1")
			return "version " + pa.version
		case 3:
			line := drawBadField(rnd)
			pa.insert(rnd, line)
			return fmt.Sprintf("field %q", line)
		case 4:
			if !pa.framed {
				continue
			}
			name, val, _ := strings.Cut(pa.framing[0], ":")
			pa.framing[0] = pick(rnd, name+" :", name+"\t:", " "+name+":", strings.Replace(name, "-", " ", 1)+":", name+"\x00:") + val
			if strings.HasPrefix(pa.framing[0], " ") { // It must not continue a line, which would be allowed.
				pa.lines, pa.framing = nil, append(pa.framing, "X-After: a")
			}
			return fmt.Sprintf("framing by %q", pa.framing[0])
		case 5:
			return spoilFraming(rnd, pa)
		case 6:
			if !pa.chunked {
				continue
			}
			return spoilChunks(rnd, pa)
		case 7:
			if !pa.chunked {
				continue
			}
			line := drawBadField(rnd)
			pa.trailer, pa.bodyIsBroken = append(pa.trailer, line), true
			return fmt.Sprintf("trailer %q", line)
		case 8:
			pa.before += drawBadInterim(rnd, inner)
			return "an interim answer"
		default:
			if !cuts {
				continue
			}
			pa.end, pa.bodyIsBroken = Reset, true
			if pa.framed {
				pa.end = pick(rnd, Closed, Reset)
			}
			return faultCut
		}
	}
}

// insert adds a line to the header, in front of or behind the others.
func (pa *parts) insert(rnd *rand.Rand, line string) {
	if rnd.IntN(2) == 0 {
		pa.lines = append([]string{line}, pa.lines...)
	} else {
		pa.lines = append(pa.lines, line)
	}
}

// drawBadField draws a line that is no field. It doesn't continue another one.
func drawBadField(rnd *rand.Rand) string {
	return pick(rnd, "X-Note : a", "X-Note\t: a", "X Note: a", "X-N\x01te: a", "X-N\x7fte: a", "X-Nöte: a", "X(Note): a", ": a", "no colon",
		"X-Note: a\x00b", "X-Note: a\x01b", "X-Note: a\rb", "X-Note: a\x7f")
}

// spoilFraming leaves in doubt where the body ends.
func spoilFraming(rnd *rand.Rand, pa *parts) string {
	switch {
	case pa.version == "HTTP/1.0":
		pa.framing = append(pa.framing, "Transfer-Encoding: chunked")
	case pa.chunked:
		pa.framing = pick(rnd, []string{"Transfer-Encoding: chunked", "Content-Length: 9"}, []string{"Content-Length: 0", "Transfer-Encoding: chunked"},
			[]string{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"}, []string{"Transfer-Encoding: gzip"}, []string{"Transfer-Encoding: gzip, chunked"},
			[]string{"Transfer-Encoding:"}, []string{"Transfer-Encoding: chunked;a=b"})
	default:
		pa.framing = pick(rnd, []string{"Content-Length: 3", "Content-Length: 4"}, []string{"Content-Length: 3, 4"}, []string{"Content-Length: +3"}, []string{"Content-Length: 0x3"},
			[]string{"Content-Length: -1"}, []string{"Content-Length: 3 4"}, []string{"Content-Length: 99999999999999999999"}, []string{"Content-Length: a"},
			[]string{"Content-Length: 3", " 4"})
	}
	return fmt.Sprintf("framing %q by %s", pa.framing, pa.version)
}

// spoilChunks breaks the grammar of the chunks.
func spoilChunks(rnd *rand.Rand, pa *parts) string {
	size, rest, _ := strings.Cut(pa.body, "\r\n")
	digits, _, _ := strings.Cut(size, ";")
	pa.bodyIsBroken = true
	if data, _, ok := strings.Cut(rest, "\r\n"); ok && rnd.IntN(4) == 0 {
		pa.body, pa.chunked, pa.end = digits+"fffff\r\n"+data, false, Closed
		return "a chunk that is shorter than its size"
	}
	bad := pick(rnd, "-"+digits, "+"+digits, "0x"+digits, "g"+digits, "", " ", "1234567890abcdef0", digits+" 1")
	pa.body = bad + "\r\n" + rest
	return fmt.Sprintf("chunk size %q", bad)
}

// drawBadInterim draws what stands in front of an answer and is no interim answer.
func drawBadInterim(rnd *rand.Rand, inner string) string {
	return pick(rnd,
		"HTTP/1.1 099 Early\r\n\r\n",
		"HTTP/1.1 000\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\x00b\r\n\r\n",
		fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 1xx Early\r\n\r\n",
		"\x00\r\n")
}
