"""Internal headers, which hosts set on requests and answers between each other."""

RAN_HEADER = "bronzepoint-ran"
"""``no`` on a refusal: a host guarantees that the request did not run."""
ARRIVED_HEADER = "bronzepoint-arrived"
"""On a refusal: a target received the request and rejected it, so that sending it again
is a retry."""
FORWARDED_HEADER = "bronzepoint-forwarded"
"""Region that forwarded the request; such a request is never forwarded again."""
RUNS_HEADER = "bronzepoint-runs"
"""Number of times that the request may have run so far."""
MAX_RUNS_HEADER = "bronzepoint-most-runs"
"""Limit of the total runs of a forwarded request, over all regions."""
FINGERPRINT_HEADER = "bronzepoint-fingerprint"
"""Fingerprint of the request, which the other region can't compute itself: it sees the
forwarding host as the caller."""
PERMIT_HEADER = "bronzepoint-trial-permit"
"""A core host has permitted a trial of this request, which is suspected of crashing
targets."""
BLOCKED_HEADER = "bronzepoint-held"
"""On an answer: the request is blocked, in all regions."""
HOST_REFUSED_HEADER = "bronzepoint-host-refused"
"""On a refusal: its reason concerns this host only, so that another host of the region
may take the request."""
LEASE_HEADER = "bronzepoint-lease"
"""Number of the lease under which the request is forwarded; -2: its own region may not
serve it, so it may wait in this one."""
ORGANISATION_HEADER = "bronzepoint-organisation"
"""Organisation of the caller, version of the catalogue that it was looked up in, and a
signature of both."""
ORIGIN_HEADER = "bronzepoint-origin"
"""Service and software version that began the stream: on a request, where it must go
on, on an answer, where it goes on."""
SEND_HEADER = "bronzepoint-send"
"""Forwarding host, and its id for this send, by which both hosts refer to it."""
HOST_HEADERS = frozenset(
    {
        RAN_HEADER,
        ARRIVED_HEADER,
        FORWARDED_HEADER,
        RUNS_HEADER,
        MAX_RUNS_HEADER,
        FINGERPRINT_HEADER,
        PERMIT_HEADER,
        BLOCKED_HEADER,
        HOST_REFUSED_HEADER,
        LEASE_HEADER,
        ORGANISATION_HEADER,
        ORIGIN_HEADER,
        SEND_HEADER,
    }
)
"""All internal headers; those that a caller sends are ignored and not passed on."""
