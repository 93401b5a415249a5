// Package crowd tests samphirebeam-edge, as a real process, under clients that do
// not behave: the process must stay alive within the memory and the descriptors of
// its machine, and still answer an ordinary request.
package crowd
