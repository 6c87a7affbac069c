package walog

import (
	"io"
	"os"
)

type (
	// fileSystem is what logs need of package os. Tests replace it by one that tells what was
	// written from what was synced.
	fileSystem interface {
		MkdirAll(path string) error
		// ReadDir returns the names in a folder.
		ReadDir(path string) ([]string, error)
		OpenFile(name string, flag int) (file, error)
		Rename(from, to string) error
		Remove(name string) error
		// SyncDir syncs the names in a folder.
		SyncDir(path string) error
	}

	// file is what logs need of an *os.File.
	file interface {
		io.Reader
		io.WriterAt
		io.Closer
		Truncate(size int64) error
		Sync() error
	}

	// osFiles is the file system of the operating system.
	osFiles struct{}
)

// MkdirAll implements fileSystem.
func (osFiles) MkdirAll(path string) error { return os.MkdirAll(path, dirMode) }

// ReadDir implements fileSystem.
func (osFiles) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

// OpenFile implements fileSystem.
func (osFiles) OpenFile(name string, flag int) (file, error) {
	f, err := os.OpenFile(name, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements fileSystem.
func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements fileSystem.
func (osFiles) Remove(name string) error { return os.Remove(name) }

// SyncDir implements fileSystem.
func (osFiles) SyncDir(path string) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only synced
	return f.Sync()
}
