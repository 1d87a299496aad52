"""Draw the recorded measurements as small PNG files in docs/.

Run it with `python -m bench.plots` after the JSON lines of the measurements
were written to bench/results/.
"""

import json
import pathlib

import matplotlib

matplotlib.use('agg')

from matplotlib import pyplot  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / 'bench' / 'results'
DOCS = ROOT / 'docs'


def read(name):
    """Return the recorded JSON lines of a measurement."""
    text = (RESULTS / f'{name}.jsonl').read_text()
    return [json.loads(line) for line in text.splitlines()]


def of_kind(rows, kind):
    """Return the rows that one call of `common.emit` printed."""
    return [row for row in rows if row['bench'] == kind]


def draw_recovery():
    """Draw the throughput around each failure."""
    rows = read('recovery')
    episodes = of_kind(rows, 'recovery.episode')
    series = of_kind(rows, 'recovery.rates')
    figure, grid = pyplot.subplots(
        2, 3, figsize=(9, 4.5), sharex=True, sharey=True
    )
    pairs = zip(episodes, series, strict=True)
    for axes, (episode, rates) in zip(grid.flat, pairs, strict=True):
        axes.step(rates['seconds'], rates['tokens_per_s'], where='post')
        target = episode['target_tokens_per_s']
        axes.axhline(target, color='grey', linestyle='--', linewidth=0.8)
        axes.axvline(0, color='red', linewidth=0.8)
        axes.set_title(episode['fault'], fontsize=9)
    # The axes are shared; a limit set in the loop would cut the others off.
    grid[0, 0].set_ylim(bottom=0)
    figure.supxlabel('seconds after the failure', fontsize=9)
    figure.supylabel('tokens a second', fontsize=9)
    figure.tight_layout()
    figure.savefig(DOCS / 'recovery.png', dpi=80)


def draw_crest():
    """Draw the offered and served load of each run."""
    series = of_kind(read('crest'), 'crest.series')
    figure, grid = pyplot.subplots(
        2, 2, figsize=(9, 4.5), sharex=True, sharey='col'
    )
    for axes, run in zip(grid.flat, series, strict=True):
        axes.step(run['seconds'], run['offered'], label='offered')
        axes.step(run['seconds'], run['served'], label='served')
        kind = 'with' if run['long_jobs'] else 'without'
        policies = f'{run["queue_policy"]}, {run["chain_policy"]}'
        axes.set_title(f'{policies}, {kind} long jobs', fontsize=9)
    grid[0, 0].legend(fontsize=8)
    figure.supxlabel('seconds', fontsize=9)
    figure.supylabel('tokens a second', fontsize=9)
    figure.tight_layout()
    figure.savefig(DOCS / 'crest.png', dpi=80)


def main():
    """Draw all plots."""
    draw_recovery()
    draw_crest()


if __name__ == '__main__':
    main()
