// Package delta writes large contents the short way: against a content that the reader has already, or compressed where it has none.
// A hash of the result tells the reader that it got what was meant.
//
// It is pure: it must never send or store anything.
package delta

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -o delta_gen.go

import (
	"bytes"
	"crypto/sha256"
	"errors"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

const (
	plainBelow   = 512      // bytes: smaller contents are written as they are
	mostContent  = 64 << 20 // bytes
	leastWindow  = 1 << 16
	dictionaryID = 1
)

// The forms of a Content.
const (
	Plain      = iota // Data is the content
	Compressed        // Data is the content, compressed
	Against           // Data turns the content with the hash Base into this one
)

// ErrNoBase is the error of a reader that has not the content which another one is written against.
var ErrNoBase = errors.New("the content that this one is written against is not known here")

// Content is a content as it is sent or stored.
type Content struct {
	Hash []byte `msg:"h"` // of the content, SHA-256
	Form int    `msg:"f"`
	Base []byte `msg:"b,omitempty"` // hash
	Data []byte `msg:"d"`
}

// Hash is the hash of a content.
func Hash(data []byte) []byte {
	h := sha256.Sum256(data)
	return h[:]
}

// Whole writes a content for a reader that has nothing.
func Whole(data []byte) *Content {
	c := &Content{Hash: Hash(data), Form: Plain, Data: data}
	if len(data) < plainBelow {
		return c
	}
	if packed, err := pack(data, zstd.WithEncoderLevel(zstd.SpeedFastest)); err == nil && len(packed) < len(data) {
		c.Form, c.Data = Compressed, packed
	}
	return c
}

// Change writes a content for a reader that has base.
func Change(base, data []byte) *Content {
	if len(data) < plainBelow || len(base) < plainBelow {
		return Whole(data)
	}
	window := leastWindow
	for window < len(base)+len(data) && window < zstd.MaxWindowSize {
		window *= 2
	}
	packed, err := pack(data, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithWindowSize(window))
	if err != nil {
		return Whole(data)
	}
	return &Content{Hash: Hash(data), Form: Against, Base: Hash(base), Data: packed}
}

func pack(data []byte, options ...zstd.EOption) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, append(options, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(data, nil), nil
}

// Open gives the content. base is what the reader has, or nil. The error is ErrNoBase where the content is written against another.
func (c *Content) Open(base []byte) ([]byte, error) {
	data := c.Data
	switch c.Form {
	case Plain:
	case Compressed, Against:
		var options []zstd.DOption
		if c.Form == Against {
			if !bytes.Equal(Hash(base), c.Base) {
				return nil, ErrNoBase
			}
			options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
		}
		var err error
		if data, err = unpack(c.Data, options...); err != nil {
			return nil, trace.BadParameter("content cannot be unpacked: %v", err)
		}
	default:
		return nil, trace.BadParameter("content is of the unknown form %d: update this node to the release of the others", c.Form)
	}
	if !bytes.Equal(Hash(data), c.Hash) {
		return nil, trace.BadParameter("content of %d bytes has not the hash that it should have", len(data))
	}
	return data, nil
}

func unpack(data []byte, options ...zstd.DOption) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(mostContent))...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer decoder.Close()
	return decoder.DecodeAll(data, nil)
}
