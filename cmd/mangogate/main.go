// Command mangogate is not built yet.
package main

func main() {}
