"""Tests of anvillug."""
