// Package keelexplain reconstructs the timeline of one request from the logs of
// several instances: the log lines of the request itself and those about the
// endpoints to which it was sent. It reads logs only and contacts no instance.
package keelexplain
