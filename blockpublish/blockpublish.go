// Package blockpublish changes the client blocks on the platform.
package blockpublish

import (
	"context"
	"net/netip"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blockchunk"
	"celeryreach.example/celeryreach/publish"
	"celeryreach.example/celeryreach/store"
)

const tries = 5

// Blockpublish makes new versions of the client blocks.
type Blockpublish struct {
	// Clock paces the reading back after a lost answer.
	Clock clockwork.Clock
	// Platform holds the chunks and the row.
	Platform store.Store
}

// Change puts some client blocks and removes others. Two changes at once do not
// conflict unless they name the same block, and then the later one holds: the
// second is made again from the version that the first has left.
func (p *Blockpublish) Change(ctx context.Context, put []block.Block, remove []netip.Prefix) (accepted.Accepted, error) {
	u := &publish.Publish{Clock: p.Clock, Platform: p.Platform, Key: accepted.BlocksKey}
	for range tries {
		a, _, err := u.Current(ctx)
		if err != nil {
			return a, err
		}
		h, err := p.chunks(ctx, a)
		if err != nil {
			return a, err
		}
		if err := p.edit(ctx, h, put, remove); err != nil {
			return a, err
		}
		n, ok, err := u.Commit(ctx, a.Version, blockchunk.Manifest(h))
		if ok || err != nil {
			return n, err
		}
	}
	return accepted.Accepted{}, errors.New("others change the client blocks at the same time; nothing was changed")
}

// chunks returns the hashes of the accepted chunks.
func (p *Blockpublish) chunks(ctx context.Context, a accepted.Accepted) ([]string, error) {
	if a.Version == 0 {
		h := make([]string, blockchunk.Count)
		for i := range h {
			h[i] = blockchunk.Empty
		}
		return h, nil
	}
	b, err := p.Platform.GetObject(ctx, accepted.ObjectName(accepted.BlocksKey, a.Hash))
	if err != nil {
		return nil, err
	}
	return blockchunk.Hashes(b)
}

// edit stores the touched chunks and sets their hashes.
func (p *Blockpublish) edit(ctx context.Context, h []string, put []block.Block, remove []netip.Prefix) error {
	t := make(map[int]map[netip.Prefix]string)
	for _, r := range remove {
		if err := p.load(ctx, h, t, blockchunk.Index(r)); err != nil {
			return err
		}
		delete(t[blockchunk.Index(r)], r)
	}
	for _, v := range put {
		if err := p.load(ctx, h, t, blockchunk.Index(v.Prefix)); err != nil {
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
		h[i] = accepted.Hash(b)
		if err := p.Platform.PutObject(ctx, accepted.ObjectName(accepted.BlocksKey, h[i]), b); err != nil {
			return err
		}
	}
	return nil
}

func (p *Blockpublish) load(ctx context.Context, h []string, t map[int]map[netip.Prefix]string, i int) error {
	if t[i] != nil {
		return nil
	}
	t[i] = make(map[netip.Prefix]string)
	if h[i] == blockchunk.Empty {
		return nil
	}
	b, err := p.Platform.GetObject(ctx, accepted.ObjectName(accepted.BlocksKey, h[i]))
	if err != nil {
		return err
	}
	if accepted.Hash(b) != h[i] {
		return errors.Errorf("chunk %d: content does not have hash %s", i, h[i])
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
