// Package executionlog remembers which requests a server may have executed, so that one whose reference comes again is
// not executed a second time: after its client has left, or at the other process of an upgrade. The processes of an
// upgrade share the log through a file that both map into memory.
package executionlog

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	slotsPerBucket = 8
	// bucketWords is the size of a bucket: its slots, and a counter that selects the slot to be replaced next.
	bucketWords = slotsPerBucket + 1
	wordBytes   = 8
	fileMode    = 0o600
)

// errTooSmall is the error for a size that holds no bucket.
var errTooSmall = errors.New("execution log has no room for an entry")

// Log is a bounded set of references. A new reference replaces the oldest one of its bucket. Several processes may use
// the same file at once; within a process, a Log is not safe for concurrent use.
type Log struct{ words []uint64 }

// New returns an empty log of at most the given size in bytes that no other process shares.
func New(size int) *Log {
	buckets := max(1, size/(bucketWords*wordBytes))
	return &Log{words: make([]uint64, buckets*bucketWords)}
}

// Open returns the log in the file at path, of at most the given size in bytes. It creates the file if there is none.
// The memory of the file is allocated at once, so that a full file system is an error here and not a fault later.
func Open(path string, size int) (*Log, error) {
	words := size / (bucketWords * wordBytes) * bucketWords
	if words == 0 {
		return nil, errTooSmall
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("execution log: %w", err)
	}
	defer file.Close() // the mapping outlives the descriptor
	if err := unix.Fallocate(int(file.Fd()), 0, 0, int64(words*wordBytes)); err != nil {
		return nil, fmt.Errorf("allocate execution log: %w", err)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, words*wordBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map execution log: %w", err)
	}
	return &Log{words: unsafe.Slice((*uint64)(unsafe.Pointer(unsafe.SliceData(memory))), words)}, nil
}

// Claim adds a reference and reports whether it was not in the log. If two processes claim the same reference at once,
// at most one of the calls returns true.
func (l *Log) Claim(reference string) bool {
	key, bucket := l.find(reference)
	if indexOf(bucket, key, -1) >= 0 {
		return false
	}
	index := int(atomic.AddUint64(&bucket[slotsPerBucket], 1) % slotsPerBucket)
	atomic.StoreUint64(&bucket[index], key)
	if indexOf(bucket, key, index) >= 0 {
		atomic.CompareAndSwapUint64(&bucket[index], key, 0)
		return false
	}
	return true
}

// Release removes a reference that was claimed by this process and that no server can have executed.
func (l *Log) Release(reference string) {
	key, bucket := l.find(reference)
	if index := indexOf(bucket, key, -1); index >= 0 {
		atomic.CompareAndSwapUint64(&bucket[index], key, 0)
	}
}

// find returns the key of a reference, which is not 0, and its bucket.
func (l *Log) find(reference string) (key uint64, bucket []uint64) {
	hash := fnv.New64a()
	hash.Write([]byte(reference))
	key = max(1, hash.Sum64())
	start := int(key%uint64(len(l.words)/bucketWords)) * bucketWords
	return key, l.words[start : start+bucketWords]
}

// indexOf returns the index of the slot of a bucket that holds the key, other than the slot except, or -1.
func indexOf(bucket []uint64, key uint64, except int) int {
	for index := range slotsPerBucket {
		if index != except && atomic.LoadUint64(&bucket[index]) == key {
			return index
		}
	}
	return -1
}
