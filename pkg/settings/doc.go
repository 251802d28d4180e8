// Package settings reads the start-up settings of a node from YAML. Reading is
// strict: the first fault is returned as an error with file, line, field and
// accepted values, and no value of a faulty file is used.
//
// The struct tags of Settings are the only list of fields. They give the name
// ("yaml"), the default ("default"), whether a value must be stated
// ("required"), the bounds ("min", "max"), the accepted words ("enum") and the
// unit ("unit"). docs/settings.md is compared with them by a test.
package settings
