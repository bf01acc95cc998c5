#!/usr/bin/env python3
"""Runs clang-tidy over the sources whose last verdict no longer holds.

A verdict is clean or not clean; only clean ones are kept. It holds as long as all of these are unchanged: the
contents of the source and of every header that it includes (system headers too), the compile command, the
version of the linter, and each .clang-tidy file that applies. A machine without kept verdicts lints everything.

usage: lint-changed.py BUILD_FOLDER SOURCE...   (the build folder holds compile_commands.json)
"""

import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

JOBS = 8
LINTER = "clang-tidy"
# Arguments of a compile command that name its output or its dependency file.
OUTPUT_FLAGS_WITH_VALUE = {"-o", "-MF", "-MT", "-MQ"}
OUTPUT_FLAGS = {"-c", "-MD", "-MMD"}


def verdict_folder():
    cache = os.environ.get("XDG_CACHE_HOME") or os.path.expanduser("~/.cache")
    return pathlib.Path(os.environ.get("ANISEHOLD_LINT_CACHE") or os.path.join(cache, "anisehold-lint"))


@functools.lru_cache(maxsize=None)
def digest_of_file(path):
    return hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()


def compiler_arguments(entry):
    """Returns the compile command without the compiler launcher, and without the flags for its outputs."""
    arguments = entry.get("arguments") or shlex.split(entry["command"])
    while arguments and os.path.basename(arguments[0]) == "ccache":
        arguments = arguments[1:]
    kept = []
    skips_value = False
    for argument in arguments:
        if skips_value:
            skips_value = False
        elif argument in OUTPUT_FLAGS_WITH_VALUE:
            skips_value = True
        elif argument not in OUTPUT_FLAGS:
            kept.append(argument)
    return kept


def dependencies_of(entry):
    """Returns the paths of the source and of all headers that it includes."""
    command = compiler_arguments(entry) + ["-M", "-MT", "unit"]
    listing = subprocess.run(command, cwd=entry["directory"], capture_output=True, text=True, check=True).stdout
    paths = shlex.split(listing.split(":", 1)[1].replace("\\\n", " "))
    return [os.path.normpath(os.path.join(entry["directory"], path)) for path in paths]


def linter_settings(path, root):
    """Returns the .clang-tidy files that apply to a file of the repository."""
    found = []
    folder = pathlib.Path(path).parent
    while True:
        settings = folder / ".clang-tidy"
        if settings.exists():
            found.append(str(settings))
        if folder == root or folder == folder.parent:
            return found
        folder = folder.parent


def key_of(entry, root, linter_version):
    """Returns the key of a verdict. Paths below the repository's root count relative to it, so that another
    clone on the same machine finds the verdict."""
    text = hashlib.sha256(linter_version.encode())
    arguments = " ".join(compiler_arguments(entry)).replace(str(root), "ROOT")
    text.update(arguments.encode())
    # In the order of inclusion: which of two headers of one name is found first matters.
    for path in dependencies_of(entry):
        is_own = path.startswith(str(root) + os.sep)
        settings = linter_settings(path, root) if is_own else []
        for each in [path, *settings]:
            name = each.replace(str(root), "ROOT", 1)
            text.update(f"{name} {digest_of_file(each)}\n".encode())
    return text.hexdigest()


def lint(entry, build):
    result = subprocess.run([LINTER, "--quiet", "-p", build, entry["file"]], capture_output=True, text=True)
    notes = [line for line in result.stderr.splitlines() if "warnings generated" not in line]
    # clang-tidy exits with 0 after a mere warning; anything that it prints is a finding.
    return result.returncode == 0 and not result.stdout.strip(), result.stdout + "\n".join(notes)


def check(entry, build, root, linter_version, folder):
    """Returns (whether the source is clean, whether it was linted now, what the linter printed)."""
    key = key_of(entry, root, linter_version)
    verdict = folder / key
    if verdict.exists():
        return True, False, ""
    is_clean, output = lint(entry, build)
    if is_clean:
        folder.mkdir(parents=True, exist_ok=True)
        verdict.write_text(entry["file"] + "\n")
    return is_clean, True, output


def main():
    build = sys.argv[1]
    root = pathlib.Path(__file__).resolve().parent.parent
    sources = {str((root / source).resolve()) for source in sys.argv[2:]}
    commands = json.loads(pathlib.Path(build, "compile_commands.json").read_text())
    entries = {entry["file"]: entry for entry in commands if entry["file"] in sources}
    missing = sources - set(entries)
    if missing:
        print("lint: no compile command for " + ", ".join(sorted(missing)))
        return 1
    linter_version = subprocess.run([LINTER, "--version"], capture_output=True, text=True, check=True).stdout
    is_all_clean = True
    linted = 0
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        run = functools.partial(check, build=build, root=root, linter_version=linter_version, folder=verdict_folder())
        for is_clean, was_linted, output in pool.map(run, entries.values()):
            linted += was_linted
            is_all_clean = is_all_clean and is_clean
            if not is_clean:
                print(output)
    print(f"lint: {len(entries)} files, {linted} linted now" + ("" if is_all_clean else ", NOT clean"))
    return 0 if is_all_clean else 1


if __name__ == "__main__":
    sys.exit(main())
