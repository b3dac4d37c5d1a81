"""Fuzzes a host with requests that no well-behaved caller sends."""
