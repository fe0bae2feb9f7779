//go:build !testbed

// Package faultdisk has disks fail on purpose, in the laboratory's build alone.
package faultdisk

import "magpiebank/internal/storage/store"

// Folder is a folder as it is: disks fail by themselves.
func WrapFolder(f store.Folder) store.Folder { return f }
