package main

func measurePath() error { return nil }
