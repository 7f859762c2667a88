/**
 * Plot of the propagation time over the number of nodes.
 */
import * as echarts from 'echarts'
import type { IRunReport } from './FleetRun.js'

const WIDTH = 960
const HEIGHT = 560

/** A line of the plot. */
export interface IPlotLine {
  readonly name: string
  readonly reports: readonly IRunReport[]
}

/**
 * Plots the longest propagation time of all seeds over the number of nodes.
 * @param lines - reports of each kind of fault
 * @param boundMs - time that is allowed, in milliseconds
 * @returns the plot as SVG
 */
export function plotPropagation (lines: readonly IPlotLine[], boundMs: number): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    title: { text: 'Longest time from acknowledgement to in place' },
    legend: { type: 'plain', bottom: 0 },
    grid: { top: 60, bottom: 130, left: 70, right: 30 },
    xAxis: { type: 'value', name: 'nodes', nameLocation: 'middle', nameGap: 25 },
    yAxis: { type: 'value', name: 'ms' },
    series: lines.map(({ name, reports }, index) => ({
      name,
      type: 'line',
      data: computeLongest(reports),
      markLine: index > 0 ? undefined : { symbol: 'none', data: [{ yAxis: boundMs }] }
    }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

/** Computes pairs of the number of nodes and the longest time of all seeds. */
function computeLongest (reports: readonly IRunReport[]): Array<[number, number]> {
  const longest = new Map<number, number>()
  for (const { nodes, propagationMs } of reports) longest.set(nodes, Math.max(longest.get(nodes) ?? 0, propagationMs.max))
  return [...longest].sort(([one], [other]) => one - other)
}
