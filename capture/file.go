package capture

// file.go owns capture files: a header, then blocks of queries, each compressed, counted and with a checksum. A file whose
// writer died is readable up to its last whole block; a damaged block is skipped, counted and named, and what comes behind
// it is read. It must never believe a length that it has not checked.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Header is what a file tells of itself.
type Header struct {
	Version int       `json:"version"`
	Begun   time.Time `json:"begun"`
	Router  string    `json:"router"`
	Sample  float64   `json:"sample"` // share of the queries that are in it
	Shards  int       `json:"shards"`
}

const (
	magic      = "MOLECAP1"
	blockMark  = "BLK\x01"
	blockHead  = len(blockMark) + 4 + 4 + 4 + 8
	present    = 1
	blockBytes = 64 << 10 // raw, from which a block is written
	mostBlock  = 16 << 20 // of either size
	mostHeader = 1 << 16
	mostParts  = 4096
	mostCalls  = 64
)

// Writer writes a file. It holds one block.
type Writer struct {
	out     io.Writer
	enc     *zstd.Encoder
	raw     bytes.Buffer
	count   int
	Written int64 // bytes given to the file
	Queries int64
}

// NewWriter begins a file.
func NewWriter(out io.Writer, h Header) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(128<<10), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	w := &Writer{out: out, enc: enc}
	h.Version = present
	text, err := cbor.Marshal(h)
	if err != nil {
		return nil, err
	}
	head := append([]byte(magic), binary.BigEndian.AppendUint32(nil, uint32(len(text)))...)
	head = append(head, text...)
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(text))
	n, err := out.Write(head)
	w.Written += int64(n)
	return w, err
}

// Add adds a query; it is in the file once its block is, see Flush.
func (w *Writer) Add(q *Query) error {
	b, err := cbor.Marshal(q)
	if err != nil {
		return err
	}
	w.raw.Write(b)
	w.count++
	w.Queries++
	if w.raw.Len() >= blockBytes {
		return w.Flush()
	}
	return nil
}

// Flush writes what is held as a block.
func (w *Writer) Flush() error {
	if w.count == 0 {
		return nil
	}
	packed := w.enc.EncodeAll(w.raw.Bytes(), nil)
	block := append([]byte(blockMark), binary.BigEndian.AppendUint32(nil, uint32(len(packed)))...)
	block = binary.BigEndian.AppendUint32(block, uint32(w.raw.Len()))
	block = binary.BigEndian.AppendUint32(block, uint32(w.count))
	block = binary.BigEndian.AppendUint64(block, sum(block[len(blockMark):], packed))
	block = append(block, packed...)
	w.raw.Reset()
	w.count = 0
	n, err := w.out.Write(block)
	w.Written += int64(n)
	return err
}

// sum covers a block's lengths as well, so that none of them is believed when it is damaged.
func sum(head, packed []byte) uint64 {
	d := xxhash.New()
	d.Write(head)
	d.Write(packed)
	return d.Sum64()
}

// Damage is a stretch of a file that could not be read.
type Damage struct {
	Offset int64
	Says   string
}

// Reader reads a file.
type Reader struct {
	Header Header
	Damage []Damage
	Blocks int

	in        *bufio.Reader
	offset    int64
	dec       *zstd.Decoder
	block     []Query
	ended     bool
	searching bool
}

// NewReader begins to read. A file without a readable header is refused.
func NewReader(in io.Reader) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostBlock))
	if err != nil {
		return nil, err
	}
	r := &Reader{in: bufio.NewReaderSize(in, 256<<10), dec: dec}
	var head [len(magic) + 4]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil || string(head[:len(magic)]) != magic {
		return nil, errors.New("no capture file")
	}
	n := binary.BigEndian.Uint32(head[len(magic):])
	if n > mostHeader {
		return nil, errors.New("the header is damaged")
	}
	text := make([]byte, n+8)
	if _, err := io.ReadFull(r.in, text); err != nil || xxhash.Sum64(text[:n]) != binary.BigEndian.Uint64(text[n:]) {
		return nil, errors.New("the header is damaged")
	}
	if err := cbor.Unmarshal(text[:n], &r.Header); err != nil {
		return nil, fmt.Errorf("the header is damaged: %w", err)
	}
	if r.Header.Version != present {
		return nil, fmt.Errorf("version %d; this program reads %d", r.Header.Version, present)
	}
	r.offset = int64(len(head) + len(text))
	return r, nil
}

// Next is the next query, io.EOF at the end. What was damaged on the way stands in Damage.
func (r *Reader) Next() (*Query, error) {
	for len(r.block) == 0 {
		if r.ended {
			return nil, io.EOF
		}
		r.readBlock()
	}
	q := &r.block[0]
	r.block = r.block[1:]
	return q, nil
}

func (r *Reader) damaged(says string) {
	if !r.searching { // one stretch is one damage
		r.Damage = append(r.Damage, Damage{r.offset, says})
	}
	r.searching = true
}

// skip passes over bytes.
func (r *Reader) skip(n int) {
	n, _ = r.in.Discard(n)
	r.offset += int64(n)
}

// readBlock reads the next block that is whole. After damage it looks for the next mark, byte by byte, as a length
// that is damaged leads anywhere.
func (r *Reader) readBlock() {
	head, err := r.in.Peek(blockHead)
	if err != nil {
		if len(head) > 0 {
			r.damaged("ends within a block's head")
		}
		r.ended = true
		return
	}
	if string(head[:len(blockMark)]) != blockMark {
		r.damaged("no block where one should begin")
		r.skip(1)
		return
	}
	packed, raw, count := binary.BigEndian.Uint32(head[4:]), binary.BigEndian.Uint32(head[8:]), binary.BigEndian.Uint32(head[12:])
	want := binary.BigEndian.Uint64(head[16:])
	lengths := append([]byte(nil), head[4:16]...)
	if packed > mostBlock || raw > mostBlock || count > raw {
		r.damaged("a block's lengths make no sense")
		r.skip(1)
		return
	}
	body := make([]byte, int(packed))
	whole := r.peekBody(blockHead, body)
	if !whole {
		r.damaged("ends within a block")
		r.skip(1)
		return
	}
	if sum(lengths, body) != want {
		r.damaged("a block's checksum is wrong")
		r.skip(1)
		return
	}
	queries, err := r.decode(body, int(count))
	if err != nil {
		r.damaged(err.Error())
	} else {
		r.searching = false
	}
	r.skip(blockHead + len(body))
	if err == nil {
		r.Blocks++
		r.block = queries
	}
}

// peekBody reads what lies some bytes ahead without passing over it; the buffer grows for a large block.
func (r *Reader) peekBody(ahead int, body []byte) bool {
	if need := ahead + len(body); need > r.in.Size() {
		rest := r.in
		r.in = bufio.NewReaderSize(rest, need)
	}
	all, err := r.in.Peek(ahead + len(body))
	if err != nil {
		return false
	}
	copy(body, all[ahead:])
	return true
}

func (r *Reader) decode(body []byte, count int) ([]Query, error) {
	raw, err := r.dec.DecodeAll(body, nil)
	if err != nil {
		return nil, errors.New("a block can't be unpacked")
	}
	var queries []Query
	dec := cbor.NewDecoder(bytes.NewReader(raw))
	for range count {
		var q Query
		if err := dec.Decode(&q); err != nil || !q.sound() {
			return nil, errors.New("a block holds what is no query")
		}
		queries = append(queries, q)
	}
	return queries, nil
}

// sound: can the query be computed with?
func (q *Query) sound() bool {
	if q.At < 0 || q.Took < 0 || q.Final > Left || len(q.Parts) > mostParts {
		return false
	}
	for i := range q.Parts {
		p := &q.Parts[i]
		if p.Shard < 0 || !(p.Weight >= 0 && p.Weight <= 1+1e-6) || !(p.Hint >= 0) || !(p.Work >= 0) || len(p.Calls) > mostCalls {
			return false
		}
	}
	return true
}

// ReadAll reads a whole file.
func ReadAll(in io.Reader) (*Reader, []*Query, error) {
	r, err := NewReader(in)
	if err != nil {
		return nil, nil, err
	}
	var all []*Query
	for {
		q, err := r.Next()
		if err != nil {
			return r, all, nil
		}
		all = append(all, q)
	}
}
