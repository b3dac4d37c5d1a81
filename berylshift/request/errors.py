"""Errors of the request layer."""


class RequestError(Exception):
    """A failure of a request that is reported to its caller."""


class BadRequestError(RequestError):
    """The request is invalid; the message says why."""
