"""Errors of the request layer."""


class RequestError(Exception):
    """Any failure of a request that its caller is told of."""


class BadRequestError(RequestError):
    """The request can't be served as it stands; the text says why."""
