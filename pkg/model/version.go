package model

import "time"

// Version numbers the accepted rules files, starting at 1; 0 means none.
type Version uint64

// VersionInfo describes one accepted version. It is immutable.
type VersionInfo struct {
	Number     Version   `json:"number"`
	Digest     string    `json:"digest"` // hexadecimal SHA-256 of the whole rules file
	ETag       string    `json:"etag"`   // of the object that the version was accepted from
	AcceptedAt time.Time `json:"accepted_at"`
	Publisher  NodeID    `json:"publisher"`
	Generation uint64    `json:"generation"` // of the publisher lease
}

// VersionedText is an accepted version together with its rules file.
type VersionedText struct {
	Info VersionInfo `json:"info"`
	Text []byte      `json:"text"`
}

// Rejection records a rules file that did not pass the check.
type Rejection struct {
	ETag   string    `json:"etag"`
	At     time.Time `json:"at"`
	Faults []string  `json:"faults"` // one line each, with line number and field
}
