// Package frame is the wire form between an entry and an agent: protobuf
// messages with a length in front, on the streams of a yamux session.
//
// # Usage
//
//	rd := frame.NewReader(stream)
//	wr := frame.NewWriter(stream)
//	err := wr.Write(&frame.Frame{Body: &frame.Frame_Notice{…}})
//	fr, err := rd.Read()
//
// The generated code is committed; `make generate` renews it from frame.proto.
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative frame.proto

// MaxFrame bounds a frame in bytes. A configuration of the store's largest
// value must fit with its envelope. A peer that announces more is broken, and
// believing it would let one frame take the process's memory.
const MaxFrame = 1<<20 + 1<<16

// ErrTooLarge tells that a frame is above MaxFrame.
var ErrTooLarge = errors.New("frame: too large")

// Reader reads frames from a stream. It is not safe for concurrent use.
type Reader struct{ br *bufio.Reader }

// readBuffer holds a usual chunk of tokens; streams are many, so it is small.
const readBuffer = 2 << 10

// NewReader returns a Reader of st.
func NewReader(st io.Reader) *Reader { return &Reader{br: bufio.NewReaderSize(st, readBuffer)} }

// Read returns the next frame, io.EOF at a clean end between two frames, or
// the error of the stream.
func (rd *Reader) Read() (*Frame, error) {
	fr := new(Frame)
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(rd.br, fr)
	var big *protodelim.SizeTooLargeError
	if errors.As(err, &big) {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, err
	}
	return fr, nil
}

// Buffered reports whether another frame has begun to arrive already.
func (rd *Reader) Buffered() bool { return rd.br.Buffered() > 0 }

// Writer writes frames to a stream, each with one call. It is not safe for
// concurrent use.
type Writer struct {
	wr  io.Writer
	buf []byte
}

// NewWriter returns a Writer to st.
func NewWriter(st io.Writer) *Writer { return &Writer{wr: st} }

// Write sends a frame. Length and body go out in one write, because each write
// becomes a frame of the session below.
func (wr *Writer) Write(fr *Frame) error {
	size := proto.Size(fr)
	if size > MaxFrame {
		return ErrTooLarge
	}
	buf := binary.AppendUvarint(wr.buf[:0], uint64(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, fr)
	if err != nil {
		return err
	}
	wr.buf = buf
	_, err = wr.wr.Write(buf)
	return err
}
