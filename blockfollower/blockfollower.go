// Package blockfollower keeps the newest client blocks on a host. It fetches
// only the chunks that changed.
package blockfollower

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blockchunk"
	"celeryreach.example/celeryreach/blocktable"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/store"
)

// Kind identifies the list of chunks in messages between hosts, ChunkKind a
// single chunk.
const (
	Kind      = "Blocks"
	ChunkKind = "BlockChunk"
)

// fetchWorkers is the number of chunks that are fetched in parallel. A host
// that starts needs all chunks.
const fetchWorkers = 16

// Blockfollower receives versions of the client blocks from the platform and
// from peers, and applies only versions higher than the one in force.
type Blockfollower struct {
	// Clock paces the polling.
	Clock clockwork.Clock
	// Log receives one line for each applied version.
	Log *log.Logger
	// Store holds the row and the chunks.
	Store store.Store
	// PollInterval returns the time until the next read of the row.
	PollInterval func() time.Duration
	// OnChange is called after a version was applied; it may be nil.
	OnChange func()
	// Fetch requests a chunk from peers; nil if there are no peers.
	Fetch func(ctx context.Context, hash string) ([]byte, error)
	// Timeout limits the time to fetch the chunks of one version.
	Timeout time.Duration

	once    sync.Once
	replica *replica.Replica
	blocks  blocktable.Blocktable

	mu     sync.Mutex
	hashes []string
	chunks map[string][]byte
}

// Find returns the client block of an address and its nearest region.
func (f *Blockfollower) Find(a netip.Addr) (netip.Prefix, string, bool) {
	return f.blocks.Find(a)
}

// Len returns the number of client blocks.
func (f *Blockfollower) Len() int {
	return f.blocks.Len()
}

// Chunk returns the content of a chunk for a peer, nil if this host does not
// have it.
func (f *Blockfollower) Chunk(hash string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chunks[hash]
}

// Replica returns the copy of the list of chunks that is exchanged with peers.
func (f *Blockfollower) Replica() *replica.Replica {
	f.once.Do(func() {
		f.replica = &replica.Replica{
			Kind: Kind, Key: acceptedversion.BlocksKey, Log: f.Log, Store: f.Store, Apply: f.apply, OnChange: f.OnChange,
			Clock: f.Clock, PollInterval: f.PollInterval,
		}
	})
	return f.replica
}

// apply fetches the chunks that changed and updates the table with their
// differences. If a chunk cannot be fetched, no part of the version is applied,
// and the host retries it after the next read of the store or the next digest
// from a peer; look-ups continue with the previous version.
func (f *Blockfollower) apply(_ uint64, _ string, content []byte) error {
	h, err := blockchunk.ParseHashes(content)
	if err != nil {
		return err
	}
	o := f.currentHashes()
	var l []int
	for i := range h {
		if h[i] != o[i] {
			l = append(l, i)
		}
	}
	c, err := f.fetchChunks(h, l)
	if err != nil {
		return err
	}
	var put []block.Block
	var remove []netip.Prefix
	for _, i := range l {
		p, r, err := chunkChanges(f.Chunk(o[i]), c[h[i]])
		if err != nil {
			return errors.Wrapf(err, "chunk %d", i)
		}
		put = append(put, p...)
		remove = append(remove, r...)
	}
	if err := f.blocks.Change(put, remove); err != nil {
		return err
	}
	f.storeChunks(h, c)
	return nil
}

// currentHashes returns the hashes of the chunks in force.
func (f *Blockfollower) currentHashes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hashes == nil {
		f.hashes = make([]string, blockchunk.Count)
		for i := range f.hashes {
			f.hashes[i] = blockchunk.Empty
		}
	}
	return f.hashes
}

// fetchChunks returns the chunks with the given indexes, by hash.
func (f *Blockfollower) fetchChunks(h []string, places []int) (map[string][]byte, error) {
	x, s := clockwork.WithTimeout(context.Background(), f.Clock, f.Timeout)
	defer s()
	q := make(chan string, len(places))
	for _, i := range places {
		if h[i] != blockchunk.Empty {
			q <- h[i]
		}
	}
	close(q)
	c := make(map[string][]byte, len(q))
	var mu sync.Mutex
	n := min(fetchWorkers, len(q))
	d := make(chan error, n)
	for range n {
		go func() { d <- f.fetchQueued(x, q, &mu, c) }()
	}
	var r error
	for range n {
		if err := <-d; err != nil {
			r = err
		}
	}
	return c, r
}

// fetchQueued fetches chunks into c until the queue of hashes is empty.
func (f *Blockfollower) fetchQueued(ctx context.Context, q <-chan string, mu *sync.Mutex, c map[string][]byte) error {
	for n := range q {
		b, err := f.fetchChunk(ctx, n)
		if err != nil {
			return err
		}
		mu.Lock()
		c[n] = b
		mu.Unlock()
	}
	return nil
}

// fetchChunk tries the peers before the platform. Otherwise thousands of hosts
// that start would each read thousands of chunks from the platform.
func (f *Blockfollower) fetchChunk(ctx context.Context, hash string) ([]byte, error) {
	if f.Fetch != nil {
		if b, err := f.Fetch(ctx, hash); err == nil && acceptedversion.Hash(b) == hash {
			return b, nil
		}
	}
	b, err := f.Store.GetObject(ctx, acceptedversion.ObjectName(acceptedversion.BlocksKey, hash))
	if err != nil {
		return nil, err
	}
	if acceptedversion.Hash(b) != hash {
		return nil, errors.Errorf("content of the chunk does not match hash %s", hash)
	}
	return b, nil
}

// storeChunks keeps the chunks in force and drops the others.
func (f *Blockfollower) storeChunks(h []string, c map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chunks == nil {
		f.chunks = make(map[string][]byte, len(h))
	}
	for k, b := range c {
		f.chunks[k] = b
	}
	for i, o := range f.hashes {
		if o != h[i] {
			delete(f.chunks, o)
		}
	}
	f.hashes = h
}

// chunkChanges returns the client blocks to put and to remove that turn chunk a
// into chunk b.
func chunkChanges(a, b []byte) (put []block.Block, remove []netip.Prefix, err error) {
	x, err := blockchunk.Parse(a)
	if err != nil {
		return nil, nil, err
	}
	y, err := blockchunk.Parse(b)
	if err != nil {
		return nil, nil, err
	}
	m := make(map[netip.Prefix]string, len(x))
	for _, v := range x {
		m[v.Prefix] = v.Region
	}
	for _, v := range y {
		if r, ok := m[v.Prefix]; !ok || r != v.Region {
			put = append(put, v)
		}
		delete(m, v.Prefix)
	}
	for p := range m {
		remove = append(remove, p)
	}
	return put, remove, nil
}
