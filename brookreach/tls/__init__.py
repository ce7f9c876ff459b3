"""TLS credentials that are replaced in service.

The package owns reading a certificate chain and its key from files, the checks that make them fit for use, and which
of them are in use. It must never log a key, nor replace valid credentials by invalid ones.
"""
