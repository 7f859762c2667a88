/**
 * Plays runs in several threads.
 */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { IRunResult, IRunTask } from './FleetWorker.js'

const WORKER_FILE = new URL('./FleetWorker.js', import.meta.url)

/**
 * Plays all runs.
 * @param tasks - runs
 * @param jobs - number of threads
 * @param onResult - called after each run
 * @returns the results in the order of the tasks
 */
export async function playAll (tasks: readonly IRunTask[], jobs: number, onResult: (result: IRunResult) => void): Promise<IRunResult[]> {
  const results: IRunResult[] = []
  let next = 0
  const playInTurn = async (): Promise<void> => {
    const worker = new Worker(WORKER_FILE)
    try {
      for (let index = next++; index < tasks.length; index = next++) {
        const result = await playOne(worker, tasks[index] as IRunTask)
        results[index] = result
        onResult(result)
      }
    } finally {
      await worker.terminate()
    }
  }
  await Promise.all(Array.from({ length: Math.min(jobs, tasks.length) }, playInTurn))
  return results
}

async function playOne (worker: Worker, task: IRunTask): Promise<IRunResult> {
  worker.postMessage(task)
  const [result] = await once(worker, 'message') as [IRunResult]
  return result
}
