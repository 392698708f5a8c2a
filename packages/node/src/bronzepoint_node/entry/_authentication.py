"""Authentication of callers and operators by bearer token."""

from bronzepoint_common.http import Request
from bronzepoint_common.tokens import Caller, Operator, Tokens
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_schema.generated.decisions import RefusalKind


def require_caller(tokens: Tokens, request: Request) -> Caller:
    """Return the caller whose token the request carries.

    Raises:
        RequestRefused: The request has no token of a caller.
    """
    caller = tokens.caller(request.headers.get("authorization", ""))
    if caller is None:
        raise _unauthenticated("caller")
    return caller


def require_operator(tokens: Tokens, request: Request) -> Operator:
    """Return the operator whose token the request carries.

    Raises:
        RequestRefused: The request has no token of an operator.
    """
    authorization = request.headers.get("authorization", "")
    operator = tokens.operator(authorization)
    if operator is not None:
        return operator
    if tokens.caller(authorization) is None:
        raise _unauthenticated("operator")
    raise refused(
        RefusalKind.forbidden,
        "This path is for operators, and the token is a caller's.",
        "Send the token of an [operator NAME] section.",
    )


def require_anyone(tokens: Tokens, request: Request) -> Caller | Operator:
    """Return the caller or operator whose token the request carries.

    Raises:
        RequestRefused: The request has no valid token.
    """
    authorization = request.headers.get("authorization", "")
    sender = tokens.caller(authorization) or tokens.operator(authorization)
    if sender is None:
        raise _unauthenticated("caller or operator")
    return sender


def _unauthenticated(role: str) -> RequestRefused:
    return refused(
        RefusalKind.unauthenticated,
        f"The request carries no token of a known {role}.",
        "Send 'Authorization: Bearer TOKEN' with a token from the hosts' settings.",
    )
