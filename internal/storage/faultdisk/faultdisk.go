//go:build !testbed

// Package faultdisk is the hook through which a build with the tag testbed injects disk faults into a gateway's process. In all other
// builds it does nothing.
package faultdisk

import "magpiebank/internal/storage/store"

// WrapFolder returns the folder unchanged.
func WrapFolder(folder store.Folder) store.Folder { return folder }
