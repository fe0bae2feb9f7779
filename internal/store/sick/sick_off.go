//go:build !lab

// Package sick has disks fail on purpose, in the laboratory's build alone.
package sick

import "magpiebank/internal/store"

// Folder is a folder as it is: disks fail by themselves.
func Folder(f store.Folder) store.Folder { return f }
