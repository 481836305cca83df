/** Draws bar charts as a single HTML page with inline SVG, without scripts or network resources. */

export type Bar = {readonly label: string; readonly value: number};
export type BarChart = {readonly title: string; readonly unit: string; readonly bars: readonly Bar[]};

const width = 560;
const labelWidth = 180;
const valueWidth = 110;
const rowHeight = 22;

export function drawCharts(title: string, charts: readonly BarChart[]): string {
	const sections = charts.map(chart => `<h2>${escapeText(chart.title)}</h2>\n${drawChart(chart)}`);
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${escapeText(title)}</title>
<style>body { font: 14px sans-serif; margin: 2em } h2 { font-size: 15px } rect { fill: #4a7ab5 } text { font: 12px sans-serif }</style>
<h1>${escapeText(title)}</h1>
${sections.join('\n')}
</html>
`;
}

function drawChart({bars, unit}: BarChart): string {
	const maximumValue = Math.max(...bars.map(bar => bar.value), Number.EPSILON);
	const rows = bars.map((bar, index) => {
		const length = Math.max(1, bar.value / maximumValue * (width - labelWidth - valueWidth));
		const top = index * rowHeight;
		const baseline = top + rowHeight - 7;
		return [
			`<text x="0" y="${baseline}">${escapeText(bar.label)}</text>`,
			`<rect x="${labelWidth}" y="${top + 3}" width="${length.toFixed(1)}" height="${rowHeight - 6}"/>`,
			`<text x="${(labelWidth + length + 6).toFixed(1)}" y="${baseline}">${Number(bar.value.toPrecision(4))} ${escapeText(unit)}</text>`,
		].join('');
	});
	return `<svg width="${width}" height="${bars.length * rowHeight}" role="img">${rows.join('\n')}</svg>`;
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
