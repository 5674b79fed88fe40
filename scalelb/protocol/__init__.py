"""Codecs of the wire protocols, without I/O: received bytes to messages, and messages to bytes."""


class MalformedError(Exception):
    """The input violates its protocol; the message says how."""
