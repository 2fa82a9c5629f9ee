"""Version moves: start beside, judge, ramp, finish or undo."""
