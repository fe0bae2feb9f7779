package installation

import (
	"errors"
	"os"
	"path/filepath"
)

// copySuffix is appended to the name of a folder for the copy that CopyState makes.
const copySuffix = ".older"

// StateFolder returns the path of the gateway's request journal.
func (g *Gateway) StateFolder() string {
	return filepath.Join(g.installation.Folder, g.Label()+".state")
}

// PolicyFolder returns the path of the gateway's policy store.
func (g *Gateway) PolicyFolder() string {
	return filepath.Join(g.installation.Folder, g.Label()+".policy")
}

// QuotaFolder returns the path of the snapshots with which the next process of the gateway takes over its share of the quotas.
func (g *Gateway) QuotaFolder() string {
	return filepath.Join(g.installation.Folder, g.Label()+".seat")
}

// folders returns the folders whose contents survive a restart of the process.
func (g *Gateway) folders() (folders []string) {
	if g.installation.plan.Durable {
		folders = append(folders, g.StateFolder())
		if _, err := os.Stat(g.QuotaFolder()); err == nil {
			folders = append(folders, g.QuotaFolder())
		}
	}
	if cluster := g.installation.plan.Cluster; cluster != nil && cluster.Rollout.Voters > 0 {
		folders = append(folders, g.PolicyFolder())
	}
	return folders
}

// HasStateCopy reports whether there is a copy made by CopyState.
func (g *Gateway) HasStateCopy() bool {
	for _, folder := range g.folders() {
		if _, err := os.Stat(folder + copySuffix); err == nil {
			return true
		}
	}
	return false
}

// CopyState copies the gateway's folders and replaces earlier copies. RestoreState restores the folders from the copies.
func (g *Gateway) CopyState() error {
	for _, folder := range g.folders() {
		if err := os.RemoveAll(folder + copySuffix); err != nil {
			return err
		}
		if err := os.CopyFS(folder+copySuffix, os.DirFS(folder)); err != nil {
			return err
		}
	}
	return nil
}

// RestoreState replaces the gateway's folders with their copies. It deletes folders without a copy.
func (g *Gateway) RestoreState() error {
	for _, folder := range g.folders() {
		if err := os.RemoveAll(folder); err != nil {
			return err
		}
		if _, err := os.Stat(folder + copySuffix); err != nil {
			continue
		}
		if err := os.CopyFS(folder, os.DirFS(folder+copySuffix)); err != nil {
			return err
		}
	}
	return nil
}

// DeleteState deletes the gateway's folders, but not their copies.
func (g *Gateway) DeleteState() (err error) {
	for _, folder := range g.folders() {
		err = errors.Join(err, os.RemoveAll(folder))
	}
	return err
}
