// Command lavendermux is the rollout service.
package main

func main() {}
