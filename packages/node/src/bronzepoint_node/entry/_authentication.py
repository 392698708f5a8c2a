"""Who sends a request."""

from bronzepoint_common.http import Request
from bronzepoint_common.tokens import Caller, Operator, Tokens
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_schema.generated.decisions import RefusalKind


def require_caller(tokens: Tokens, request: Request) -> Caller:
    """Return the caller whose token the request carries; refuses others."""
    caller = tokens.caller(request.headers.get("authorization", ""))
    if caller is None:
        raise _no_token("caller")
    return caller


def require_operator(tokens: Tokens, request: Request) -> Operator:
    """Return the operator whose token the request carries; refuses others."""
    authorization = request.headers.get("authorization", "")
    operator = tokens.operator(authorization)
    if operator is not None:
        return operator
    if tokens.caller(authorization) is None:
        raise _no_token("operator")
    raise refused(
        RefusalKind.forbidden,
        "This path is for operators, and the token is a caller's.",
        "Send the token of an [operator NAME] section.",
    )


def require_anyone(tokens: Tokens, request: Request) -> Caller | Operator:
    """Return the caller or operator whose token the request carries."""
    authorization = request.headers.get("authorization", "")
    holder = tokens.caller(authorization) or tokens.operator(authorization)
    if holder is None:
        raise _no_token("caller or operator")
    return holder


def _no_token(role: str) -> RequestRefused:
    return refused(
        RefusalKind.unauthenticated,
        f"The request carries no token of a known {role}.",
        "Send 'Authorization: Bearer TOKEN' with a token from the hosts' settings.",
    )
