// Package blockpublish changes the client blocks that are stored on the
// platform.
package blockpublish

import (
	"context"
	"net/netip"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blockchunk"
	"celeryreach.example/celeryreach/publish"
	"celeryreach.example/celeryreach/store"
)

const maxAttempts = 5

// Blockpublish publishes new versions of the client blocks.
type Blockpublish struct {
	// Clock paces the reads that check a commit whose answer was lost.
	Clock clockwork.Clock
	// Store holds the row and the chunks.
	Store store.Store
}

// Change puts some client blocks and removes others. Concurrent changes
// conflict only if they name the same block. Then the later change wins,
// because it is applied again to the version that the earlier change published.
func (p *Blockpublish) Change(ctx context.Context, put []block.Block, remove []netip.Prefix) (acceptedversion.Acceptedversion, error) {
	u := &publish.Publish{Clock: p.Clock, Store: p.Store, Key: acceptedversion.BlocksKey}
	for range maxAttempts {
		a, _, err := u.Current(ctx)
		if err != nil {
			return a, err
		}
		h, err := p.chunkHashes(ctx, a)
		if err != nil {
			return a, err
		}
		if err := p.storeChanges(ctx, h, put, remove); err != nil {
			return a, err
		}
		n, ok, err := u.Commit(ctx, a.Version, blockchunk.FormatHashes(h))
		if ok || err != nil {
			return n, err
		}
	}
	return acceptedversion.Acceptedversion{}, errors.New("too many concurrent changes of the client blocks; nothing was changed")
}

// chunkHashes returns the hashes of the accepted chunks.
func (p *Blockpublish) chunkHashes(ctx context.Context, a acceptedversion.Acceptedversion) ([]string, error) {
	if a.Version == 0 {
		h := make([]string, blockchunk.Count)
		for i := range h {
			h[i] = blockchunk.Empty
		}
		return h, nil
	}
	b, err := p.Store.GetObject(ctx, acceptedversion.ObjectName(acceptedversion.BlocksKey, a.Hash))
	if err != nil {
		return nil, err
	}
	return blockchunk.ParseHashes(b)
}

// storeChanges stores the chunks that change and sets their hashes in h.
func (p *Blockpublish) storeChanges(ctx context.Context, h []string, put []block.Block, remove []netip.Prefix) error {
	t := make(map[int]map[netip.Prefix]string)
	for _, r := range remove {
		if err := p.loadChunk(ctx, h, t, blockchunk.Index(r)); err != nil {
			return err
		}
		delete(t[blockchunk.Index(r)], r)
	}
	for _, v := range put {
		if err := p.loadChunk(ctx, h, t, blockchunk.Index(v.Prefix)); err != nil {
			return err
		}
		t[blockchunk.Index(v.Prefix)][v.Prefix] = v.Region
	}
	for i, m := range t {
		l := make([]block.Block, 0, len(m))
		for k, r := range m {
			l = append(l, block.Block{Prefix: k, Region: r})
		}
		h[i] = blockchunk.Empty
		if len(l) == 0 {
			continue
		}
		b := blockchunk.Format(l)
		h[i] = acceptedversion.Hash(b)
		if err := p.Store.PutObject(ctx, acceptedversion.ObjectName(acceptedversion.BlocksKey, h[i]), b); err != nil {
			return err
		}
	}
	return nil
}

// loadChunk reads the client blocks of chunk i into t, unless t already holds
// them.
func (p *Blockpublish) loadChunk(ctx context.Context, h []string, t map[int]map[netip.Prefix]string, i int) error {
	if t[i] != nil {
		return nil
	}
	t[i] = make(map[netip.Prefix]string)
	if h[i] == blockchunk.Empty {
		return nil
	}
	b, err := p.Store.GetObject(ctx, acceptedversion.ObjectName(acceptedversion.BlocksKey, h[i]))
	if err != nil {
		return err
	}
	if acceptedversion.Hash(b) != h[i] {
		return errors.Errorf("chunk %d: content does not match hash %s", i, h[i])
	}
	l, err := blockchunk.Parse(b)
	if err != nil {
		return errors.Wrapf(err, "chunk %d", i)
	}
	for _, v := range l {
		t[i][v.Prefix] = v.Region
	}
	return nil
}
