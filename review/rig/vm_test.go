package main

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an entry VM that ends right after its start because two of its listeners were given the same port.
func TestFreeAddressesAreDistinct(t *testing.T) {
	is := is.New(t)
	for range 20000 {
		addresses, err := freeAddresses("127.0.0.1", 3)
		is.NoErr(err)
		distinct := map[string]bool{}
		for _, address := range addresses {
			distinct[address] = true
		}
		is.Equal(len(distinct), 3)
	}
}
