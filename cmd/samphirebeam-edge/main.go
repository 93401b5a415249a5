// Command samphirebeam-edge runs one host of the query tier on the users'
// platform.
package main

import "github.com/samphirebeam/samphirebeam/edge/command"

func main() { command.Main() }
