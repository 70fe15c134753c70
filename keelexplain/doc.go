// Package keelexplain tells the story of one request from the log lines of all
// processes.
package keelexplain
