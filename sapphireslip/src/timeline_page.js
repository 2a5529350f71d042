const filter = document.getElementById("filter");
const boxes = [...document.querySelectorAll("header input[type=checkbox]")];
const items = [...document.querySelectorAll(".item")];
const gaps = [...document.querySelectorAll(".gap")];

function apply() {
  const text = filter.value.trim().toLowerCase();
  const topics = new Set(boxes.filter((box) => box.checked).map((box) => box.value));
  let shown = 0;
  for (const item of items) {
    const topic = [...item.classList].find((name) => name !== "item");
    item.hidden = !topics.has(topic) || !item.dataset.text.includes(text);
    shown += item.hidden ? 0 : 1;
  }
  const whole = shown === items.length;
  for (const gap of gaps) gap.hidden = !whole;
}

filter.addEventListener("input", apply);
for (const box of boxes) box.addEventListener("change", apply);
document.getElementById("fold").addEventListener("click", () => {
  const all = [...document.querySelectorAll("details")];
  const open = !all.some((details) => details.open);
  for (const details of all) details.open = open;
});
