//go:build profile

package main

import (
	"net"
	"net/http"
	_ "net/http/pprof" //nolint:gosec // only in builds with the tag profile
	"os"

	"k8s.io/klog/v2"
)

// init serves pprof profiles on the address in PROFILE_ADDRESS, which must be a loopback address. Builds without the
// tag profile never serve profiles.
func init() {
	address := os.Getenv("PROFILE_ADDRESS")
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return
	}
	go func() { klog.ErrorS(http.ListenAndServe(address, nil), "Profiles are not served") }() //nolint:gosec // loopback
}
