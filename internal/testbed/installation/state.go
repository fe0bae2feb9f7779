package installation

import (
	"errors"
	"os"
	"path/filepath"
)

// copySuffix is the ending of the copies that CopyState makes.
const copySuffix = ".older"

// StateFolder is the folder of its request journal.
func (g *Gateway) StateFolder() string {
	return filepath.Join(g.installation.Folder, g.Label()+".state")
}

// PolicyFolder is the folder of its policy store.
func (g *Gateway) PolicyFolder() string {
	return filepath.Join(g.installation.Folder, g.Label()+".policy")
}

// QuotaFolder is the folder of the snapshot by which its share of the quotas passes to its next process.
func (g *Gateway) QuotaFolder() string {
	return filepath.Join(g.installation.Folder, g.Label()+".seat")
}

// folders are those that survive its process.
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

// HasStateCopy tells whether CopyState has made copies.
func (g *Gateway) HasStateCopy() bool {
	for _, folder := range g.folders() {
		if _, err := os.Stat(folder + copySuffix); err == nil {
			return true
		}
	}
	return false
}

// CopyState copies the folders as they are now, in place of earlier copies; RestoreState puts the copies in their place.
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

// RestoreState puts the copies in the place of the folders. A folder without a copy is deleted.
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

// DeleteState deletes the folders.
func (g *Gateway) DeleteState() (err error) {
	for _, folder := range g.folders() {
		err = errors.Join(err, os.RemoveAll(folder))
	}
	return err
}
