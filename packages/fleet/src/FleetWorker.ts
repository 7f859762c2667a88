/**
 * Plays runs in a thread of its own.
 */
import { parentPort } from 'node:worker_threads'
import { FleetRun, type IRunReport } from './FleetRun.js'
import type { ISiteSettings } from './FleetSite.js'

/** A run to play. */
export interface IRunTask {
  readonly settings: ISiteSettings
  readonly seed: number
}

/** The report of a run. */
export interface IRunResult {
  readonly task: IRunTask
  readonly report: IRunReport
}

parentPort?.on('message', (task: IRunTask) => { void handleTask(task) })

async function handleTask (task: IRunTask): Promise<void> {
  const report = await new FleetRun(task.settings, task.seed).play()
  parentPort?.postMessage({ task, report } satisfies IRunResult)
}
