/** Style sheet of the burn page, for light and dark displays. */
export const PAGE_STYLE = `
:root {
  color-scheme: light dark;
  --back: #fbfbfa; --card: #ffffff; --text: #1d2125; --soft: #5c6670;
  --line: #d9dde1; --limit: #1d2125;
  --failed: #b3261e; --refused: #d98200; --late: #3b6fb6; --fine: #2c7a4b;
}
@media (prefers-color-scheme: dark) {
  :root {
    --back: #15181b; --card: #1e2327; --text: #e8eaed; --soft: #a3adb6;
    --line: #3a4248; --limit: #e8eaed;
    --failed: #f0776c; --refused: #f2b04a; --late: #7fb0f0; --fine: #77c795;
  }
}
body { margin: 0; background: var(--back); color: var(--text);
  font: 15px/1.45 system-ui, sans-serif; }
main { max-width: 1080px; margin: 0 auto; padding: 24px 20px 48px; }
h1 { font-size: 24px; margin: 0 0 8px; }
h2 { font-size: 18px; margin: 0 0 4px; }
h3 { font-size: 14px; margin: 14px 0 4px; }
p { margin: 0 0 10px; color: var(--soft); }
section { background: var(--card); border: 1px solid var(--line);
  border-radius: 8px; padding: 16px 18px; margin: 16px 0; }
dl { display: flex; flex-wrap: wrap; gap: 10px 28px; margin: 10px 0 14px; }
dt { font-size: 12px; color: var(--soft); }
dd { margin: 0; font-size: 17px; font-variant-numeric: tabular-nums; }
.alert { font-size: 12px; font-weight: 600; margin-left: 6px;
  padding: 2px 8px; border-radius: 10px; border: 1px solid currentColor; }
.alert.page { color: var(--failed); } .alert.ticket { color: var(--refused); }
.alert.none { color: var(--fine); }
.warning { color: var(--failed); }
.plots { display: grid; gap: 16px;
  grid-template-columns: repeat(auto-fit, minmax(380px, 1fr)); }
figure { margin: 0; } figcaption { font-size: 13px; color: var(--soft); }
svg { width: 100%; height: auto; display: block; }
svg text { font-size: 12px; fill: var(--soft); }
.grid { stroke: var(--line); stroke-width: 1; }
.limit { stroke: var(--limit); stroke-width: 1; stroke-dasharray: 4 3; }
rect.failed { fill: var(--failed); } rect.refused { fill: var(--refused); }
rect.late { fill: var(--late); }
i { display: inline-block; width: 10px; height: 10px; border-radius: 2px;
  margin-right: 6px; }
i.failed { background: var(--failed); } i.refused { background: var(--refused); }
i.late { background: var(--late); }
.legend span { margin-right: 16px; }
table { border-collapse: collapse; font-size: 14px; }
th, td { text-align: left; padding: 3px 22px 3px 0;
  border-bottom: 1px solid var(--line); }
th { font-weight: 600; color: var(--soft); font-size: 12px; }
.number { text-align: right; font-variant-numeric: tabular-nums; }
`;
