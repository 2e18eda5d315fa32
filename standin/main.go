// Command standin runs the stand-ins for the platform and for workers, and the load tool.
package main

func main() {}
