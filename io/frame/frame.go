// Package frame implements the wire format between two processes, such as an entry and an agent:
// length-prefixed protobuf messages on the streams of a yamux session.
//
// # Usage
//
//	rd := frame.NewReader(stream)
//	wr := frame.NewWriter(stream)
//	err := wr.Write(&frame.Frame{Body: &frame.Frame_Notice{…}})
//	fr, err := rd.Read()
//
// The generated code is committed; `make generate` regenerates it from frame.proto.
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

// MaxFrame is the maximum size of a frame in bytes. It fits a configuration of the store's maximum
// value size plus its envelope. A peer that announces a larger frame is faulty, and accepting the
// length would let one frame exhaust the process's memory.
const MaxFrame = 1<<20 + 1<<16

// ErrTooLarge reports that a frame is larger than MaxFrame.
var ErrTooLarge = errors.New("frame: too large")

// Reader reads frames from a stream. It is not safe for concurrent use.
type Reader struct{ br *bufio.Reader }

// readBufferSize fits a typical chunk of tokens, in bytes. It is small because there are many
// streams.
const readBufferSize = 2 << 10

// NewReader returns a Reader of st.
func NewReader(st io.Reader) *Reader { return &Reader{br: bufio.NewReaderSize(st, readBufferSize)} }

// Read returns the next frame, io.EOF if the stream ends between two frames, or the stream's error.
func (rd *Reader) Read() (*Frame, error) {
	fr := new(Frame)
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(rd.br, fr)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, err
	}
	return fr, nil
}

// Buffered reports whether part of another frame has already been received.
func (rd *Reader) Buffered() bool { return rd.br.Buffered() > 0 }

// Writer writes frames to a stream, each with one call of Write. It is not safe for concurrent use.
type Writer struct {
	wr  io.Writer
	buf []byte
}

// NewWriter returns a Writer to st.
func NewWriter(st io.Writer) *Writer { return &Writer{wr: st} }

// Write sends a frame. Length and body are written with one call, because each call becomes a frame
// of the underlying yamux session.
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
