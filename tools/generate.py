"""Generates the typed messages and settings from the JSON schemas.

Each ``schemas/NAME.json`` becomes ``bronzepoint_schema/generated/NAME.py``. With
``--check`` nothing is written; the exit status is 1 if a committed module is out of
date.
"""

import hashlib
import re
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / "schemas"
TARGET = ROOT / "packages" / "schema" / "src" / "bronzepoint_schema" / "generated"
DIGESTS = TARGET / "DIGESTS"
GENERATOR = [
    "datamodel-codegen",
    "--input-file-type", "jsonschema",
    "--output-model-type", "msgspec.Struct",
    "--target-python-version", "3.11",
    "--use-annotated",
    "--disable-timestamp",
    "--use-schema-description",
    "--set-default-enum-member",
    "--use-msgspec-tagged-unions",
    "--use-standard-collections",
    "--use-union-operator",
    "--formatters", "ruff-format",
]  # fmt: skip


def generate_module(schema: Path, target: Path) -> None:
    """Generate the module of one schema."""
    generator = Path(sys.executable).parent / GENERATOR[0]
    command = [str(generator), *GENERATOR[1:]]
    command += ["--input", str(schema), "--output", str(target)]
    subprocess.run(command, check=True)


def post_process(source: str, strict: bool, array_like: bool) -> str:
    """Post-process the generated source of a module.

    Optional fields get a plain default; as they are then never unset, the union with
    UnsetType is removed.

    Args:
        source: Generated source.
        strict: Reject unknown fields, for schemas with ``additionalProperties: false``.
            These describe files written by people, where a misspelt key must be an
            error instead of silently using a default.
        array_like: Encode structs without field names, for schemas with
            ``x-array-like: true``. These describe messages between hosts, in which the
            names would take more than half of the bytes.
    """
    source = re.sub(r"\s*\|\s*UnsetType", "", source)
    source = source.replace("= UNSET", "= None")
    if strict:
        source = source.replace("(Struct", "(Struct, forbid_unknown_fields=True")
    if array_like:
        source = source.replace("(Struct", "(Struct, array_like=True")
    return source


def format_modules() -> None:
    """Sort the imports of the generated modules and format them."""
    ruff = str(Path(sys.executable).parent / "ruff")
    options = ["--isolated", "--quiet", str(TARGET)]
    subprocess.run([ruff, "check", "--fix", "--select", "F,I", *options], check=True)
    subprocess.run([ruff, "format", *options], check=True)


def file_digest(path: Path) -> str:
    """Return the hex SHA-256 of a file."""
    return hashlib.sha256(path.read_bytes()).hexdigest()


def digest_lines() -> str:
    """Return a line for each schema with its digest and that of its module."""
    lines = []
    for schema in sorted(SCHEMAS.glob("*.json")):
        module = TARGET / f"{schema.stem}.py"
        digest = file_digest(module) if module.exists() else "missing"
        lines.append(f"{schema.stem} {file_digest(schema)} {digest}")
    return "\n".join(lines) + "\n"


def check() -> int:
    """Compare schemas and modules with the digests of the last generation.

    This also works where the generator isn't installed.
    """
    recorded = DIGESTS.read_text() if DIGESTS.exists() else ""
    if recorded == digest_lines():
        return 0
    print("Generated code is out of date: run 'make generate' and commit the result.")
    return 1


def main() -> int:
    """Generate every module, or check them with ``--check``."""
    if "--check" in sys.argv:
        return check()
    names = [name for name in sys.argv[1:] if not name.startswith("-")]
    TARGET.mkdir(parents=True, exist_ok=True)
    for schema in sorted(SCHEMAS.glob("*.json")):
        if names and schema.stem not in names:
            continue
        with tempfile.TemporaryDirectory() as folder:
            module = Path(folder) / f"{schema.stem}.py"
            generate_module(schema, module)
            strict = '"additionalProperties": false' in schema.read_text()
            array_like = '"x-array-like": true' in schema.read_text()
            source = post_process(module.read_text(), strict, array_like)
            (TARGET / f"{schema.stem}.py").write_text(source)
    format_modules()
    DIGESTS.write_text(digest_lines())
    return 0


if __name__ == "__main__":
    sys.exit(main())
