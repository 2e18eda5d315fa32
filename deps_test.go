package main

import (
	_ "github.com/matryer/is"
	_ "pgregory.net/rapid"
)
