// Package crowds holds end-to-end tests only: clients that don't keep to the limits come in crowds
// to each address at which a process listens. The process lives, stays within the memory and the
// descriptors of its settings, and answers an ordinary request afterwards.
//
// The tests run one after the other, and scripts/test.sh runs them after all others: the memory of a
// process is measured.
package crowds
