"""Tests of the switches of optional parts of dispatching."""

from pathlib import Path

import pytest

from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_daemon.setting_rules import Mismatch
from crocuswell_daemon.settings import parse_settings
from crocuswell_platform.node_settings import NodeSettingsError, parse_features

ENTRY = """
role: entry
id: e1
failure_domain: fd-1
data_folder: null
listen: {callers: "127.0.1.1:1", peers: "127.0.1.1:2", agents: "127.0.1.1:3"}
hosts:
  - {id: e1, address: "127.0.1.1:2", failure_domain: fd-1, has_disk: false}
  - {id: e2, address: "127.0.1.2:2", failure_domain: fd-2, has_disk: true}
voters: [e2]
insecure_loopback: true
"""


def test_features_are_off_unless_the_settings_name_them() -> None:
    """Guards against deployments that get a part they never asked for."""
    assert parse_settings(ENTRY).features == DispatchFeatures()  # type: ignore[union-attr]
    settings = parse_settings(ENTRY + "features: {worker_speeds: true}\n")
    expected = DispatchFeatures(worker_speeds=True)
    assert settings.core_config(1).features == expected  # type: ignore[union-attr, call-arg]
    assert parse_features({"worker_speeds": True}) == expected


@pytest.mark.parametrize("raw", ["{speed: true}", "{worker_speeds: 1}"])
def test_unknown_features_are_refused(raw: str) -> None:
    """Guards against a switch that is misspelt and silently has no effect."""
    with pytest.raises(Mismatch):
        parse_settings(f"{ENTRY}features: {raw}\n")


@pytest.mark.parametrize("raw", [[], {"speed": True}, {"worker_speeds": 1}])
def test_unknown_features_of_the_platform_are_refused(raw: object) -> None:
    """Guards against the same in the file of a deployment on the platform."""
    with pytest.raises(NodeSettingsError):
        parse_features(raw)


def test_features_of_the_deploy_file_are_valid() -> None:
    """Guards against control processes that do not start."""
    folder = Path(__file__).parent.parent / "deploy"
    assert "deploy/features.yaml" in (folder / "system.toml").read_text()
    text = (folder / "features.yaml").read_text()
    names = [line.partition(":")[0] for line in text.splitlines() if line[0] != "#"]
    assert parse_features(dict.fromkeys(names, True))
