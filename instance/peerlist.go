package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/peer"
)

// peerList implements peer.InstanceList with the platform's list of instances. The
// timeout bounds each call.
type peerList struct {
	list    metastore.InstanceList
	timeout time.Duration
}

var _ peer.InstanceList = &peerList{}

// List returns the instances that the platform lists.
func (l *peerList) List(ctx context.Context) ([]peer.Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	instances, err := l.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var listed []peer.Listed
	for _, instance := range instances {
		listed = append(listed, peer.Listed{
			Address:  instance.PeerAddress,
			Instance: instance.ID,
			Leaving:  instance.State == metastore.InstanceLeaving,
		})
	}
	return listed, nil
}
