"use strict";
// Data and layout of the page. Each process has a lane with a row for notes (changes of
// state), a row for other lines without a request if there are any, and rows of bars,
// one bar for each request.

const data = JSON.parse(document.getElementById("data").textContent);
const lines = data.lines || [];
const lanes = data.lanes || [];

const rowHeight = 18;
const lanePadding = 9;
const maxRows = 30;

const first = lines.length ? lines[0].time : 0;
const last = lines.length ? lines[lines.length - 1].time : 1;

// prepare sets fields of all lines that are derived from others, such as the label and
// the text that the filter searches.
function prepare() {
  lines.forEach((line, i) => {
    line.index = i;
    line.note = line.kind === "note";
    line.match = true;
    line.label = line.note && line.body ? line.body.change || line.kind : line.kind;
    line.text = [lanes[line.lane].name, line.kind, line.effect ? "effect" : "event", JSON.stringify(line.body)]
      .join(" ").toLowerCase();
  });
}

// makeBars returns one bar for each request in a lane, which extends from its first line
// there to its last.
function makeBars(lane) {
  const bars = new Map();
  for (const line of lane.lines) {
    if (!line.request || line.note) continue;
    let bar = bars.get(line.request);
    if (!bar) {
      bar = { request: line.request, from: line.time, to: line.time, row: 0 };
      bars.set(line.request, bar);
    }
    bar.to = line.time;
    line.bar = bar;
  }
  return [...bars.values()];
}

// layRows assigns each bar the first row that is free at its start or, if all maxRows
// rows are taken, the one that becomes free first. The rows of bars are below the given
// number of rows above. It returns the total number of rows.
function layRows(bars, above) {
  const free = [];
  const gap = (last - first) / 200;
  for (const bar of bars) {
    let row = free.findIndex((to) => to < bar.from);
    if (row < 0 && free.length < maxRows) row = free.length;
    if (row < 0) row = free.indexOf(Math.min(...free));
    free[row] = bar.to + gap;
    bar.row = row + above;
  }
  return above + free.length;
}

// layout places the lanes below each other, those without lines last and with a single
// row, and returns their total height in pixels.
function layout() {
  for (const lane of lanes) lane.lines = [];
  for (const line of lines) lanes[line.lane].lines.push(line);
  const empty = (lane) => !lane.lines.length && !lane.error;
  let top = 0;
  [...lanes].sort((a, b) => empty(a) - empty(b)).forEach((lane, i) => {
    lane.odd = i % 2 === 1;
    lane.bars = makeBars(lane);
    const others = lane.lines.some((line) => !line.note && !line.bar);
    lane.rows = empty(lane) ? 1 : Math.max(2, layRows(lane.bars, others ? 2 : 1));
    lane.top = top;
    lane.height = lane.rows * rowHeight + 2 * lanePadding;
    top += lane.height;
  });
  for (const line of lines) {
    const row = line.note ? 0 : line.bar ? line.bar.row : 1;
    line.y = lanes[line.lane].top + lanePadding + (row + 0.5) * rowHeight;
  }
  return top;
}

// applyFilter marks the lines that contain every word of the text and returns their
// number.
function applyFilter(text) {
  const words = text.toLowerCase().split(/\s+/).filter(Boolean);
  let n = 0;
  for (const line of lines) {
    line.match = words.every((word) => line.text.includes(word));
    if (line.match) n++;
  }
  return n;
}

// relatedTo returns the lines with the same request or, if the line has none, with the
// same model or endpoint.
function relatedTo(line) {
  for (const key of ["request", "model", "endpoint"]) {
    if (line[key]) return { key, value: line[key], lines: lines.filter((other) => other[key] === line[key]) };
  }
  return { key: "process", value: lanes[line.lane].name, lines: [line] };
}

// indexAt returns the index of the first line at or after the time.
function indexAt(time) {
  let low = 0, high = lines.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (lines[middle].time < time) low = middle + 1; else high = middle;
  }
  return low;
}

// leaves returns the scalars of a body with the paths of their keys.
function leaves(value, path = "", out = []) {
  if (value !== null && typeof value === "object") {
    for (const [key, inner] of Object.entries(value)) {
      leaves(inner, Array.isArray(value) ? path : path ? path + "." + key : key, out);
    }
  } else {
    out.push([path, String(value)]);
  }
  return out;
}

function clock(time, digits = 3) {
  return new Date(time).toISOString().slice(11, digits ? 20 + digits : 19);
}

// duration formats milliseconds with a unit.
function duration(ms) {
  const abs = Math.abs(ms);
  if (abs < 1) return (ms * 1000).toFixed(0) + " µs";
  if (abs < 1000) return ms.toFixed(abs < 10 ? 2 : 0) + " ms";
  if (abs < 60000) return (ms / 1000).toFixed(abs < 10000 ? 2 : 1) + " s";
  if (abs < 3600000) return (ms / 60000).toFixed(1) + " min";
  return (ms / 3600000).toFixed(1) + " h";
}

prepare();
const contentHeight = layout();
