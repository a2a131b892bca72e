"""Settings files: errors name the wrong setting and don't show secrets."""

from __future__ import annotations

import pytest

from chicoryhold.errors import SettingsError
from chicoryhold.load.experiment import Experiment
from chicoryhold.settings import ClientSettings, ControlSettings, load_settings

CONTROL = """
name = "c1"
data_folder = "data"
api_address = "127.0.0.1:1"
metrics_address = "127.0.0.1:2"
snapshot_every = 5
heartbeat = "50 ms"
[transport]
address = "127.0.0.1:3"
key_folder = "keys"
[replicas]
c1 = "127.0.0.1:3"
[[operators]]
name = "ana"
token_sha256 = "{digest}"
"""


def load(tmp_path, text, kind=ControlSettings):
    path = tmp_path / "x.toml"
    path.write_text(text)
    return load_settings(path, kind)


def test_durations_are_parsed_with_their_unit(tmp_path):
    settings = load(tmp_path, CONTROL.format(digest="a" * 64))
    assert settings.heartbeat == 0.05
    assert settings.election_timeout == 0.6


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"50 ms"', '"50"', "heartbeat = '50': write a number and a unit"),
        ('"50 ms"', '"0 s"', "heartbeat = '0 s': write a time above zero"),
        ('"127.0.0.1:1"', '"localhost:1"', "api_address = 'localhost:1': write an IP"),
        ('c1 = "127', 'c2 = 5\nc1 = "127', "replicas.c2 = 5: write an IP number"),
        ("snapshot_every = 5", "snapshot_evry = 5", "unknown setting snapshot_evry"),
        ("snapshot_every = 5", "snapshot_every = '5'", "snapshot_every = '5': write a"),
        ('name = "c1"\n', "", "name is missing: add it"),
        ('address = "127.0.0.1:3"\nkey', "key", "transport.address is missing"),
    ],
)
def test_error_names_file_key_value_and_remedy(tmp_path, old, new, expected):
    text = CONTROL.format(digest="a" * 64)
    assert old in text
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text.replace(old, new, 1))
    assert str(tmp_path / "x.toml") in str(caught.value)
    assert expected in str(caught.value)


def test_error_does_not_show_a_section_with_a_secret(tmp_path):
    text = 'apis = []\noperator = "ana"\ntoken = "s3cret"\nextra = 1\n'
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text, ClientSettings)
    assert "s3cret" not in str(caught.value)


def test_validator_error_does_not_show_its_section(tmp_path):
    text = CONTROL.format(digest="a" * 64).replace("every = 5", "every = 0")
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text)
    assert "snapshot_every" in str(caught.value)
    assert "a" * 64 not in str(caught.value)


def test_experiment_file_is_validated_like_settings(tmp_path):
    text = 'seed = 1\nseconds = -1\nknown_host = "h"\ntraffic = []\n'
    with pytest.raises(SettingsError, match="seconds"):
        load(tmp_path, text, Experiment)
