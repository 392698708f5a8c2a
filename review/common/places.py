"""The places of the cases: those of the users' sheet for karadeniz, made smaller."""

ZONES = {"ist-a": "ist", "fra-b": "fra", "mrs-c": "mrs"}
CORE = {
    "core-ist-a-1": "ist-a",
    "core-fra-b-1": "fra-b",
    "core-mrs-c-1": "mrs-c",
    "core-ist-a-2": "ist-a",
    "core-fra-b-2": "fra-b",
}
ENTRY = {"front-ist-a-1": "ist-a", "front-fra-b-1": "fra-b", "front-mrs-c-1": "mrs-c"}
