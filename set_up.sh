# Make the virtual environment with the declared libraries; to be sourced.
VENV=${VENV:-.venv}
stamp="$VENV/.installed-$(cat pyproject.toml | cksum | tr -d ' ')"
if [ ! -e "$stamp" ]; then
    rm -rf "$VENV"
    python3 -m venv "$VENV"
    "$VENV/bin/pip" install --quiet --editable '.[test]'
    touch "$stamp"
fi
