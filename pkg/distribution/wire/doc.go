// Package wire defines the messages that nodes exchange on the peer listener
// below /.lentilflow/v1/, and their codecs. Field names are short, because
// every node sends them all day.
package wire
