"use strict";
// User input: zooming, panning, pointing, selecting and filtering.

const tip = document.getElementById("tip");
const panel = document.getElementById("panel");
const filter = document.getElementById("filter");
const shortest = 0.01;
const hoverDistance = 9;

function element(name, className, text) {
  const e = document.createElement(name);
  if (className) e.className = className;
  if (text !== undefined) e.textContent = text;
  return e;
}

function fit(from = first, to = last) {
  const margin = Math.max((to - from) * 0.03, 0.05);
  view.from = from - margin;
  view.to = to + margin * 3;
  draw();
}

// zoom scales the shown range of time around a point in time.
function zoom(factor, around) {
  const span = (view.to - view.from) * factor;
  const most = Math.max((last - first) * 4, 1000);
  if (span < shortest || span > most) return;
  view.from = around - (around - view.from) * factor;
  view.to = view.from + span;
  draw();
}

function move(dx, dy) {
  const box = chart.getBoundingClientRect();
  const dt = (dx / (box.width - gutter)) * (view.to - view.from);
  view.from += dt;
  view.to += dt;
  const most = Math.max(0, contentHeight + axisHeight + 20 - box.height);
  view.top = Math.min(most, Math.max(0, view.top + dy));
  draw();
}

// lineAt returns the line nearest to a point of the chart, or null if none is close.
function lineAt(x, y) {
  const width = chart.getBoundingClientRect().width;
  if (x < gutter) return null;
  let best = null, distance = hoverDistance;
  const to = indexAt(timeOf(x + hoverDistance, width));
  for (let i = indexAt(timeOf(x - hoverDistance, width)); i < to; i++) {
    const line = lines[i];
    const d = Math.hypot(xOf(line.time, width) - x, line.y - view.top + axisHeight - y);
    if (line.match && d <= distance) {
      best = line;
      distance = d;
    }
  }
  return best;
}

function showTip(line, x, y) {
  tip.hidden = !line;
  if (!line) return;
  tip.replaceChildren();
  const head = element("div");
  head.append(element("b", "", line.label), ` · ${line.effect ? "effect" : "event"} · ${lanes[line.lane].name}`);
  tip.append(head, element("div", "when", clock(line.time) + "  +" + duration(line.time - first)));
  const table = element("table");
  for (const [key, value] of leaves(line.body).slice(0, 12)) {
    const row = table.insertRow();
    row.insertCell().textContent = key;
    row.insertCell().textContent = value.length > 90 ? value.slice(0, 90) + "…" : value;
  }
  tip.append(table);
  const stage = chart.getBoundingClientRect();
  const left = x + 16 + tip.offsetWidth > stage.width ? x - tip.offsetWidth - 16 : x + 16;
  const top = Math.min(y + 14, stage.height - tip.offsetHeight - 8);
  tip.style.left = Math.max(4, left) + "px";
  tip.style.top = Math.max(4, top) + "px";
}

function choose(line) {
  view.chosen = line;
  const related = line ? relatedTo(line) : { lines: [] };
  view.related = new Set(related.lines);
  view.relatedRequests = new Set(related.lines.map((other) => other.request).filter(Boolean));
  if (related.key !== "request") view.relatedRequests = new Set();
  panel.hidden = !line;
  if (line) fillPanel(line, related);
  draw();
}

function fillPanel(line, related) {
  document.getElementById("panel-title").textContent = line.label;
  const facts = document.getElementById("panel-facts");
  facts.replaceChildren();
  const rows = [["process", lanes[line.lane].name], ["time", new Date(line.time).toISOString()], ["own clock", line.at],
    ["stamp", line.stamp], ["kind", line.kind + (line.effect ? " (effect)" : " (event)")]];
  for (const key of ["request", "model", "endpoint"]) if (line[key]) rows.push([key, line[key]]);
  for (const [key, value] of rows) facts.append(element("dt", "", key), element("dd", "", value));
  document.getElementById("panel-body").textContent = JSON.stringify(line.body, null, 2);
  document.getElementById("panel-related").textContent =
    `${related.lines.length} of ${related.key} ${related.value}, in the order of cause`;
  const list = document.getElementById("related");
  list.replaceChildren();
  const start = related.lines[0].time;
  const near = Math.max(0, related.lines.indexOf(line) - 100);
  for (const other of related.lines.slice(near, near + 300)) {
    const item = element("li", other === line ? "current" : "");
    item.append(element("span", "delta", "+" + duration(other.time - start)), element("span", "", other.label),
      element("span", "where", lanes[other.lane].name));
    item.addEventListener("click", () => { show(other); choose(other); });
    list.append(item);
  }
  list.querySelector(".current")?.scrollIntoView({ block: "nearest" });
}

// show pans the chart so that the line is visible.
function show(line) {
  if (line.time < view.from || line.time > view.to) {
    const half = (view.to - view.from) / 2;
    view.from = line.time - half;
    view.to = line.time + half;
  }
  const height = chart.getBoundingClientRect().height;
  const y = line.y - view.top;
  if (y < rowHeight || y > height - axisHeight - rowHeight) move(0, y - height / 2);
}

function setFilter(text) {
  const n = applyFilter(text);
  document.getElementById("matches").textContent = text ? `${n} of ${lines.length}` : "";
  draw();
}

function fitMatches() {
  const matching = lines.filter((line) => line.match);
  if (matching.length) fit(matching[0].time, matching[matching.length - 1].time);
}

function setTheme(name) {
  document.documentElement.dataset.theme = name;
  readPalette();
  draw();
}

function writeFacts() {
  const facts = document.getElementById("facts");
  const failed = lanes.filter((lane) => lane.error).length;
  facts.textContent = `${lines.length} lines · ${lanes.length} processes · ${duration(last - first)}`;
  if (failed) facts.append(" · ", element("span", "bad", `${failed} did not answer`));
}

function listenToChart() {
  let held = null;
  chart.addEventListener("wheel", (e) => {
    e.preventDefault();
    if (e.shiftKey) return move(e.deltaY + e.deltaX, 0);
    if (e.ctrlKey || Math.abs(e.deltaY) > Math.abs(e.deltaX)) {
      return zoom(Math.exp(e.deltaY * 0.0015), timeOf(Math.max(e.offsetX, gutter), chart.getBoundingClientRect().width));
    }
    move(e.deltaX, 0);
  }, { passive: false });
  chart.addEventListener("pointerdown", (e) => {
    held = { x: e.offsetX, y: e.offsetY, moved: 0 };
    chart.setPointerCapture(e.pointerId);
  });
  chart.addEventListener("pointermove", (e) => {
    if (held) {
      held.moved += Math.abs(e.offsetX - held.x) + Math.abs(e.offsetY - held.y);
      chart.classList.toggle("moving", held.moved > 3);
      move(held.x - e.offsetX, held.y - e.offsetY);
      held.x = e.offsetX;
      held.y = e.offsetY;
    }
    view.hover = held && held.moved > 3 ? null : lineAt(e.offsetX, e.offsetY);
    chart.classList.toggle("over", Boolean(view.hover));
    showTip(view.hover, e.offsetX, e.offsetY);
    draw();
  });
  chart.addEventListener("pointerup", (e) => {
    if (held && held.moved <= 3) choose(lineAt(e.offsetX, e.offsetY));
    held = null;
    chart.classList.remove("moving");
  });
  chart.addEventListener("pointerleave", () => { view.hover = null; showTip(null); draw(); });
  chart.addEventListener("dblclick", (e) => zoom(0.4, timeOf(e.offsetX, chart.getBoundingClientRect().width)));
}

function listenToOverview() {
  const centre = (e) => {
    if (!e.buttons) return;
    const time = first + (e.offsetX / overview.getBoundingClientRect().width) * (last - first);
    const half = (view.to - view.from) / 2;
    view.from = time - half;
    view.to = time + half;
    draw();
  };
  overview.addEventListener("pointerdown", (e) => { overview.setPointerCapture(e.pointerId); centre(e); });
  overview.addEventListener("pointermove", centre);
}

const middle = () => (view.from + view.to) / 2;
const actions = {
  "+": () => zoom(0.7, middle()), "=": () => zoom(0.7, middle()), "-": () => zoom(1.4, middle()),
  ArrowLeft: () => move(-80, 0), ArrowRight: () => move(80, 0), ArrowUp: () => move(0, -60), ArrowDown: () => move(0, 60),
  f: () => fit(), t: () => toggleTheme(), "/": () => filter.focus(), Escape: () => choose(null),
};

function toggleTheme() {
  setTheme(document.documentElement.dataset.theme === "dark" ? "light" : "dark");
}

function listen() {
  listenToChart();
  listenToOverview();
  filter.addEventListener("input", () => setFilter(filter.value));
  filter.addEventListener("keydown", (e) => {
    if (e.key === "Enter") fitMatches();
    if (e.key === "Escape") filter.blur();
    e.stopPropagation();
  });
  document.addEventListener("keydown", (e) => {
    if (e.ctrlKey || e.metaKey || e.target.tagName === "SELECT" || !actions[e.key]) return;
    e.preventDefault();
    actions[e.key]();
  });
  document.getElementById("fit").addEventListener("click", () => fit());
  document.getElementById("theme").addEventListener("click", toggleTheme);
  document.getElementById("close").addEventListener("click", () => choose(null));
  document.getElementById("colour").addEventListener("change", (e) => { view.colour = e.target.value; hues.clear(); draw(); });
  new ResizeObserver(draw).observe(document.getElementById("stage"));
}

view.relatedRequests = new Set();
writeFacts();
listen();
setTheme(window.matchMedia("(prefers-color-scheme: dark)").matches ? "dark" : "light");
fit();
// The address can select a line, for example page.html#request=ID.
const asked = decodeURIComponent(location.hash.slice(1));
const [askedKey, askedValue] = asked.split("=");
const found = asked && lines.find((line) => line[askedKey] && line[askedKey].split("/").concat(line[askedKey]).includes(askedValue));
if (found) choose(found);
