// Wirehost runs many roots behind the simulator's wire on standard input and output.
package main

import (
	"fmt"
	"os"

	"moleshift/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
