/**
 * Memory in use by the test process.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Measures memory in use without garbage; freed memory is deducted only some time after the collection. */
export async function measureHeldBytes (): Promise<number> {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  let held = Infinity
  for (let sample = 0; sample < 4; sample++) {
    collect()
    await sleep(100)
    collect()
    const { heapUsed, arrayBuffers } = process.memoryUsage()
    held = Math.min(held, heapUsed + arrayBuffers)
  }
  return held
}
