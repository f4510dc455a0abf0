"""Run as `python -m laureldock`; the commands are in `laureldock/cli`."""

from laureldock.cli import main

if __name__ == "__main__":
    main(prog_name="laureldock")
