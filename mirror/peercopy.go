package mirror

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/row"
)

// lateChange is how much later than another host has it a change is logged as late.
const lateChange = time.Second

// Sources of a newer version, in the log.
const (
	sourceStore = "store"
	sourceHost  = "another host"
)

// content is the encoding of a copy that is sent to another host.
type content struct {
	Seen    uint64
	Changed uint64
	Doubt   time.Duration // how much longer rows may be missing, for hosts that don't know outages themselves
	Rows    []row.Row
	// If Since is not zero, Rows are only those that changed after that version, and Keys
	// are those of all rows.
	Since uint64   `json:",omitzero"`
	Keys  []string `json:",omitzero"`
}

// IsBehind reports whether another host's copy with the given version has a change
// that this one may lack.
func (m *Mirror) IsBehind(version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return version > m.tableVersion
}

// SetHostsVersion records the version that another host has, and reports whether this copy
// lacks it. A long poll that does not return it soon is aborted.
func (m *Mirror) SetHostsVersion(version uint64) (behind bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version <= m.tableVersion {
		return false
	}
	m.hostsVersion = max(m.hostsVersion, version)
	if !m.behindSince.IsZero() {
		return true
	}
	m.behindSince, m.hintMissed = m.Clock.Now(), false
	select {
	case m.updateHints <- updateHintDelay:
	default: // no long poll is running, or it is already signaled
		m.hintMissed = true
	}
	return true
}

// PeerCopyDelay returns the time after which to fetch the copy of another host. behind is false if
// no other host is known to have a newer version. While the store seems reachable, it is
// given updateHintDelay to return the change, from the time at which a call waits for it.
func (m *Mirror) PeerCopyDelay() (d time.Duration, behind bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hostsVersion <= m.tableVersion {
		return 0, false
	}
	if m.unreachable || m.tableVersion == 0 {
		return 0, true
	}
	return max(m.Clock.Until(deadline.Later(m.behindSince, m.nextCallAt).Add(updateHintDelay)), 0), true
}

// ContentVersion returns the version from which Content of another host is to continue, zero if
// the full table is needed.
func (m *Mirror) ContentVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fullCopyDue {
		return 0
	}
	return m.tableVersion
}

// Content returns the version of the last change in the copy, and the encoded copy for
// another host. If since is not zero, the encoding has only what changed after that version.
func (m *Mirror) Content(since uint64) (uint64, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := content{Seen: m.tableVersion, Changed: m.changeVersion, Doubt: max(m.Clock.Until(m.IncompleteUntil()), 0), Since: since}
	for k, r := range m.rows {
		if r.Version > since {
			c.Rows = append(c.Rows, r)
		}
		if since > 0 {
			c.Keys = append(c.Keys, k)
		}
	}
	b, err := codec.Marshal(c)
	return m.changeVersion, b, errors.Wrap(err, "copy of a table")
}

// ApplyPeerCopy replaces the copy by another host's encoded copy if that is newer.
func (m *Mirror) ApplyPeerCopy(b []byte) error {
	var c content
	if err := codec.Unmarshal(b, &c); err != nil {
		return errors.Wrap(err, "another host's copy of a table")
	}
	if !m.IsBehind(c.Changed) {
		return nil
	}
	if err := m.complete(&c); err != nil {
		return err
	}
	m.Log.Info("copy taken from another host", "Table", m.Name, "Version", c.Changed, "Rows", len(c.Rows), "Since", c.Since)
	if m.StoreFreshness != nil {
		m.StoreFreshness.RecordNews()
	}
	m.replace(sourceHost, c.Rows, c.Seen, c.Changed)
	return nil
}

// complete adds to the changes of another host's copy the rows that this copy has.
func (m *Mirror) complete(c *content) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fullCopyDue = false
	if c.Since == 0 {
		return nil
	}
	h := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		h[r.Key] = true
	}
	l := slices.Clone(c.Rows)
	for _, k := range c.Keys {
		if h[k] {
			continue
		}
		r, ok := m.rows[k]
		if !ok {
			m.fullCopyDue = true
			return errors.Errorf("changes since version %d lack row %q", c.Since, k)
		}
		l = append(l, r)
	}
	c.Rows = l
	return nil
}

// endBehind records that the copy has a newer version, which came from a source. It logs one that
// arrived late. The caller holds mu.
func (m *Mirror) endBehind(source string) {
	if m.behindSince.IsZero() {
		return
	}
	if d := m.Clock.Since(m.behindSince); d >= lateChange {
		m.Log.Info("change arrived late", "Table", m.Name, "Version", m.tableVersion, "Source", source, "BehindFor", d, "HintMissed", m.hintMissed)
	}
	m.behindSince = time.Time{}
	if m.hostsVersion > m.tableVersion {
		m.behindSince = m.Clock.Now()
	}
}
