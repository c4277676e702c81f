// Command mangogatectl is not built yet.
package main

func main() {}
