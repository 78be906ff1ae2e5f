"use strict";
// Drawing of the chart and of the overview.

const chart = document.getElementById("chart");
const overview = document.getElementById("overview");
const gutter = 190;
const axisHeight = 30;
const markRadius = 4.2;

const view = { from: first, to: last, top: 0, hover: null, chosen: null, related: new Set(), colour: "kind" };
const palette = {};

function readPalette() {
  const style = getComputedStyle(document.documentElement);
  for (const name of ["surface", "line", "text", "soft", "accent", "stripe", "bar", "bad", "back", "saturation", "lightness"]) {
    palette[name] = style.getPropertyValue("--" + name).trim();
  }
}

const hues = new Map();
// colourOf returns the colour of a line. Each value of the selected field has its own
// hue.
function colourOf(line) {
  const value = view.colour === "kind" ? line.label : line[view.colour];
  if (!value) return palette.soft;
  if (!hues.has(value)) hues.set(value, (hues.size * 137.508 + 215) % 360);
  return `hsl(${hues.get(value).toFixed(0)} ${palette.saturation} ${palette.lightness})`;
}

function prepareCanvas(canvas) {
  const box = canvas.getBoundingClientRect();
  const ratio = window.devicePixelRatio || 1;
  canvas.width = Math.round(box.width * ratio);
  canvas.height = Math.round(box.height * ratio);
  const g = canvas.getContext("2d");
  g.scale(ratio, ratio);
  g.font = getComputedStyle(document.body).font;
  g.textBaseline = "middle";
  return { g, width: box.width, height: box.height };
}

function xOf(time, width) {
  return gutter + ((time - view.from) / (view.to - view.from)) * (width - gutter);
}

function timeOf(x, width) {
  return view.from + ((x - gutter) / (width - gutter)) * (view.to - view.from);
}

// gridStep returns the interval between grid lines in milliseconds.
function gridStep(width) {
  const wanted = ((view.to - view.from) * 110) / Math.max(width - gutter, 1);
  const steps = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1e3, 2e3, 5e3, 1e4, 3e4, 6e4, 12e4, 3e5, 6e5, 18e5, 36e5, 216e5, 864e5];
  if (wanted < 1) return Math.pow(10, Math.ceil(Math.log10(wanted)));
  return steps.find((step) => step >= wanted) || steps[steps.length - 1];
}

function drawGrid(g, width, height) {
  const step = gridStep(width);
  const digits = step >= 1000 ? 0 : 3;
  g.strokeStyle = palette.line;
  g.fillStyle = palette.soft;
  g.textAlign = "center";
  g.lineWidth = 1;
  for (let time = Math.ceil(view.from / step) * step; time <= view.to; time += step) {
    const x = Math.round(xOf(time, width)) + 0.5;
    g.beginPath();
    g.moveTo(x, axisHeight);
    g.lineTo(x, height);
    g.stroke();
    const text = step < 1 ? "+" + duration(time - Math.floor(view.from)) : clock(time, digits);
    if (x > gutter + 30) g.fillText(text, x, axisHeight / 2);
  }
}

function drawLaneBacks(g, width) {
  lanes.forEach((lane) => {
    const y = lane.top - view.top + axisHeight;
    if (lane.odd) {
      g.fillStyle = palette.stripe;
      g.fillRect(0, y, width, lane.height);
    }
    if (!lane.error) return;
    g.fillStyle = palette.bad;
    g.textAlign = "left";
    g.fillText("no answer: " + lane.error, gutter + 12, y + lane.height / 2, width - gutter - 24);
  });
}

function drawBars(g, width) {
  g.fillStyle = palette.bar;
  for (const lane of lanes) {
    for (const bar of lane.bars) {
      if (bar.to < view.from || bar.from > view.to) continue;
      const y = lane.top + lanePadding + bar.row * rowHeight + 2 - view.top + axisHeight;
      const from = xOf(bar.from, width) - 6, to = xOf(bar.to, width) + 6;
      g.globalAlpha = view.related.size && !view.relatedRequests.has(bar.request) ? 0.35 : 1;
      g.beginPath();
      g.roundRect(from, y, to - from, rowHeight - 4, 7);
      g.fill();
    }
  }
  g.globalAlpha = 1;
}

function drawMark(g, line, x, y, radius) {
  g.fillStyle = g.strokeStyle = colourOf(line);
  g.beginPath();
  if (line.note) {
    g.moveTo(x, y - radius - 1);
    g.lineTo(x + radius + 1, y);
    g.lineTo(x, y + radius + 1);
    g.lineTo(x - radius - 1, y);
    g.closePath();
    g.fill();
    return;
  }
  g.arc(x, y, line.effect ? radius - 1 : radius, 0, 2 * Math.PI);
  if (!line.effect) {
    g.fill();
    return;
  }
  g.lineWidth = 2;
  g.stroke();
}

// drawLines draws the marks of the lines, and their labels where there is space to the
// right.
function drawLines(g, width, height) {
  const to = Math.min(indexAt(view.to) + 1, lines.length);
  const room = new Map();
  for (let i = to - 1; i >= Math.max(indexAt(view.from) - 1, 0); i--) {
    const line = lines[i];
    const x = xOf(line.time, width), y = line.y - view.top + axisHeight;
    if (y < axisHeight - rowHeight || y > height + rowHeight) continue;
    const faded = !line.match || (view.related.size && !view.related.has(line));
    g.globalAlpha = faded ? 0.12 : 1;
    drawMark(g, line, x, y, line === view.hover || line === view.chosen ? markRadius + 2 : markRadius);
    if (faded) continue;
    const next = room.has(line.y) ? room.get(line.y) : Infinity;
    room.set(line.y, x);
    const size = g.measureText(line.label).width;
    if (next - x < size + 26) continue;
    g.fillStyle = line.note ? palette.text : palette.soft;
    g.textAlign = "left";
    g.fillText(line.label, x + 10, y + 0.5);
  }
  g.globalAlpha = 1;
}

// drawPath connects the related lines of a request in the order of the time line.
function drawPath(g, width) {
  if (view.related.size < 2 || !view.relatedRequests.size) return;
  g.strokeStyle = palette.accent;
  g.lineWidth = 1.5;
  g.globalAlpha = 0.75;
  g.beginPath();
  let before = null;
  for (const line of view.related) {
    const x = xOf(line.time, width), y = line.y - view.top + axisHeight;
    if (!before) g.moveTo(x, y);
    else g.bezierCurveTo((before.x + x) / 2, before.y, (before.x + x) / 2, y, x, y);
    before = { x, y };
  }
  g.stroke();
  g.globalAlpha = 1;
}

// drawWhole marks the time up to which the lines of all processes are complete.
function drawWhole(g, width, height) {
  if (!data.whole || data.whole > view.to || data.whole >= last) return;
  const x = xOf(data.whole, width);
  g.setLineDash([4, 4]);
  g.strokeStyle = palette.soft;
  g.lineWidth = 1;
  g.beginPath();
  g.moveTo(x, axisHeight);
  g.lineTo(x, height);
  g.stroke();
  g.setLineDash([]);
}

function drawGutter(g, height) {
  g.fillStyle = palette.surface;
  g.fillRect(0, 0, gutter, height);
  lanes.forEach((lane) => {
    const y = lane.top - view.top + axisHeight;
    if (lane.odd) {
      g.fillStyle = palette.stripe;
      g.fillRect(0, y, gutter, lane.height);
    }
    g.textAlign = "left";
    g.fillStyle = lane.error ? palette.bad : lane.lines.length ? palette.text : palette.soft;
    g.fillText(lane.name, 16, y + lanePadding + rowHeight / 2, gutter - 28);
    if (lane.rows < 2 || lane.error) return;
    g.fillStyle = palette.soft;
    const lost = lane.dropped ? `, ${lane.dropped} older dropped` : "";
    g.fillText(`${lane.lines.length} lines${lost}`, 16, y + lanePadding + rowHeight * 1.5, gutter - 28);
  });
}

function drawFrame(g, width) {
  g.fillStyle = palette.surface;
  g.fillRect(0, 0, gutter, axisHeight);
  g.fillStyle = palette.soft;
  g.textAlign = "left";
  g.fillText(new Date(view.from).toISOString().slice(0, 10) + " UTC", 16, axisHeight / 2);
  g.strokeStyle = palette.line;
  g.lineWidth = 1;
  g.beginPath();
  g.moveTo(0, axisHeight + 0.5);
  g.lineTo(width, axisHeight + 0.5);
  g.moveTo(gutter + 0.5, 0);
  g.lineTo(gutter + 0.5, 1e5);
  g.stroke();
}

function drawChart() {
  const { g, width, height } = prepareCanvas(chart);
  g.fillStyle = palette.surface;
  g.fillRect(0, 0, width, height);
  g.save();
  g.beginPath();
  g.rect(0, axisHeight, width, height);
  g.clip();
  drawLaneBacks(g, width);
  g.restore();
  drawGrid(g, width, height);
  g.save();
  g.beginPath();
  g.rect(gutter, axisHeight, width - gutter, height);
  g.clip();
  drawBars(g, width);
  drawPath(g, width);
  drawLines(g, width, height);
  drawWhole(g, width, height);
  g.restore();
  drawGutter(g, height);
  drawFrame(g, width);
}

// drawOverview draws the number of lines over the whole time, and the range that the
// chart shows.
function drawOverview() {
  const { g, width, height } = prepareCanvas(overview);
  const bins = new Array(Math.max(1, Math.floor(width / 3))).fill(0);
  const matching = bins.slice();
  const span = Math.max(last - first, 1e-6);
  for (const line of lines) {
    const bin = Math.min(bins.length - 1, Math.floor(((line.time - first) / span) * bins.length));
    bins[bin]++;
    if (line.match) matching[bin]++;
  }
  const most = Math.log1p(Math.max(1, ...bins));
  bins.forEach((n, i) => {
    const tall = (Math.log1p(n) / most) * (height - 4);
    const part = (Math.log1p(matching[i]) / most) * (height - 4);
    g.fillStyle = palette.line;
    g.fillRect(i * 3, height - tall, 2, tall);
    g.fillStyle = palette.accent;
    g.globalAlpha = 0.7;
    g.fillRect(i * 3, height - part, 2, part);
    g.globalAlpha = 1;
  });
  const from = ((view.from - first) / span) * width, to = ((view.to - first) / span) * width;
  g.fillStyle = palette.bar;
  g.fillRect(from, 0, to - from, height);
  g.strokeStyle = palette.accent;
  g.strokeRect(Math.max(from, 0) + 0.5, 0.5, Math.min(to, width) - Math.max(from, 0) - 1, height - 1);
}

let queued = false;
// draw schedules one redraw of the page before the next frame.
function draw() {
  if (queued) return;
  queued = true;
  requestAnimationFrame(() => {
    queued = false;
    drawChart();
    drawOverview();
  });
}
