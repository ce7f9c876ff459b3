"""TLS credentials that can be replaced while a server runs.

The package reads a certificate chain and its key from files, verifies them, and holds those in use. It must never log a
key, nor replace valid credentials by invalid ones.
"""
