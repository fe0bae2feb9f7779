//go:build !testbed

// Package faultdisk is the one hook by which the testbed's build (tag testbed) has the disks of a gateway's process fail on
// purpose. In any other build it does nothing.
package faultdisk

import "magpiebank/internal/storage/store"

// WrapFolder returns the folder itself.
func WrapFolder(folder store.Folder) store.Folder { return folder }
