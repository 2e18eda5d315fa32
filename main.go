// Command clementinepier schedules multi-accelerator jobs under organisation guarantees.
package main

func main() {}
