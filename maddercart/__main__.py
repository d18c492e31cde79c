"""Starts the command line."""

from maddercart.cli import app

app()
