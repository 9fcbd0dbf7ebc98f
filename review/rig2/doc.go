// Package rig2 holds what the cases of the second review share: a director that is started with the run command of the
// deploy file, small stand-ins for caches, the origin, the discovery service and clients, and the record of a run.
package rig2
