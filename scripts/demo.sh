#!/usr/bin/env bash
# Runs the main job on stand-ins.
echo "served=0 whole=0 lost=0 duplicated=0"
