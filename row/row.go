// Package row defines the rows of the platform's table.
package row

// Row is one row of the platform's transactional table.
type Row struct {
	// Key identifies the row.
	Key string
	// Value is its content.
	Value []byte
	// Version counts the changes of the row; zero means that the row does not
	// exist.
	Version uint64
}
