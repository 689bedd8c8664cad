#include "reports/html_style.h"

namespace parsleyglade {

const std::string_view htmlStyle = R"css(
:root { color-scheme: light; --page: #ffffff; --text: #1c2126; --weak: #59636e; --line: #d3d9df; --card: #f6f8fa; --left: #2f7d4f;
  --refused: #b7791f; --failed: #b3261e; --late: #2767b8; --unknown: #6b3fa0; --maintenance: #4a7a7a; --warn: #fff3cd; --alert: #fde0dd; }
@media screen and (prefers-color-scheme: dark) {
  :root { color-scheme: dark; --page: #14181c; --text: #e3e7eb; --weak: #9ba6b1; --line: #39424b; --card: #1c2227; --left: #5cb585;
    --refused: #e0a94a; --failed: #f0776c; --late: #6ea8ee; --unknown: #b490e6; --maintenance: #7fbcbc; --warn: #4a3d10; --alert: #54231f; }
}
body { margin: 0 auto; max-width: 62rem; padding: 1rem; background: var(--page); color: var(--text); font: 15px/1.45 system-ui, sans-serif; }
h1 { font-size: 1.4rem; margin: 0 0 .3rem; }
h2 { font-size: 1.1rem; margin: 0 0 .4rem; overflow-wrap: anywhere; }
p { margin: .3rem 0; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .2rem .5rem; border-bottom: 1px solid var(--line); }
th { color: var(--weak); font-weight: 600; font-size: .85rem; }
th:first-child, td:first-child { text-align: left; }
.overview { overflow-x: auto; }
.overview td:first-child { min-width: 8rem; overflow-wrap: anywhere; }
section { margin: 1.2rem 0; padding: .8rem 1rem; background: var(--card); border: 1px solid var(--line); border-radius: 6px; }
ol { margin: .3rem 0; padding-left: 1.6rem; overflow-wrap: anywhere; }
.weak { color: var(--weak); }
.missing { background: var(--warn); padding: .4rem .7rem; border-radius: 4px; font-weight: 600; overflow-wrap: anywhere; }
.fast, .slow { background: var(--alert); border-radius: 4px; padding: 0 .4rem; font-weight: 600; }
.bars { white-space: nowrap; }
.columns { display: grid; grid-template-columns: repeat(auto-fit, minmax(18rem, 1fr)); gap: .8rem; }
figure { margin: 0; }
figcaption { color: var(--weak); font-size: .85rem; }
svg { display: block; width: 100%; height: auto; }
svg text { fill: var(--weak); font: 11px system-ui, sans-serif; }
svg .axis { stroke: var(--weak); } svg .grid { stroke: var(--line); }
svg .limit { stroke: var(--text); stroke-dasharray: 5 3; } svg .mark { stroke: var(--weak); stroke-dasharray: 2 2; }
svg .frame { fill: none; stroke: var(--line); } svg .left { fill: var(--left); }
svg .refused { fill: var(--refused); } svg .failed { fill: var(--failed); } svg .late { fill: var(--late); }
svg .unknown { fill: var(--unknown); } svg .maintenance { fill: var(--maintenance); }
section table { margin-top: .4rem; font-size: .9rem; }
section th, section td { padding: .15rem .35rem; white-space: nowrap; }
.figures { display: flex; flex-wrap: wrap; gap: 0 1.2rem; }
.figures > :first-child { flex: 2 1 14rem; }
.figures > :last-child { flex: 3 1 26rem; overflow-x: auto; }
svg.bar { width: 7rem; height: .8rem; display: inline-block; vertical-align: middle; }
svg.key { width: .8rem; height: .8rem; display: inline-block; margin-right: .3rem; }
@media print {
  body { max-width: none; padding: 0; font-size: 10pt; }
  svg.bar { width: 5rem; } .figures { display: block; }
  section { break-inside: avoid; } tr { break-inside: avoid; } * { print-color-adjust: exact; }
}
)css";

} // namespace parsleyglade
