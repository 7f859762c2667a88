/**
 * Two of five control machines, c1 and c2, lose their disks. c2 is down for 3 s; c1 is back at once and loses its disk again, while it
 * catches up.
 * Checks that the configuration can be read and changed after both have had recover-s.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Recorder, World, createConfiguration, sleep } from '../lib-3/world.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ROUNDS = 8
/** Losses of the disk of c1 in one round, after the first one. */
const REPETITIONS = 1
/** Times from the first answer of the restarted process at its control address to the next loss. */
const MIN_OFFSET_MS = 450
const MAX_OFFSET_MS = 850
/** Time for which c2 has no power. */
const DARK_MS = 3_000
/** Time in which both catch up before the next round: catch-up-s and a margin. */
const CATCH_UP_MS = 4_500

const folder = dirname(fileURLToPath(import.meta.url))
const record = new Recorder(join(folder, 'record.txt'))
const world = new World({ record, controls: 5, nodes: 0 })
let exitCode = 2
try {
  exitCode = await run()
} catch (error) {
  record.note(`the case could not run: ${error.stack}`)
} finally {
  await world.stop()
  record.note(`exit ${exitCode}`)
  record.save()
}
process.exit(exitCode)

async function publish (version, base, limitMs) {
  const answer = await world.order('PUT', '/-/config', createConfiguration(version, base, ['desk']), limitMs)
  record.note(`PUT /-/config version ${version} on ${base}: ${answer === undefined ? 'no clear answer' : `${answer.status} by way of ${answer.by}`}`)
  return answer?.status
}

/** Waits until the process of a machine answers at its control address. */
async function waitAnswer (name) {
  const { host } = world.vms.get(name)
  for (let answer = { status: 0 }; answer.status === 0;) {
    answer = await world.ask({ host, port: world.ports.control, path: '/-/rollouts/desk', limitMs: 500 })
    if (answer.status === 0) await sleep(10)
  }
}

async function loseDiskOf (name) {
  await world.kill(name)
  world.loseDisk(name)
  world.startProcess(name)
}

async function run () {
  await world.start()
  if (await publish(1, 0, 20_000) !== 200) return 2
  // Traffic starts 10 s after the machines do, and disruptions later.
  await sleep(10_000)
  let acknowledged = 1
  if (await publish(2, 1, 4_000) !== 200) return 2
  acknowledged = 2
  for (let round = 0; round < ROUNDS; round++) {
    if (HAS_TROUBLE) {
      await world.kill('c2')
      world.loseDisk('c2')
      const returned = sleep(DARK_MS).then(() => world.startProcess('c2'))
      await loseDiskOf('c1')
      for (let repetition = 0; repetition < REPETITIONS; repetition++) {
        await waitAnswer('c1')
        await sleep(MIN_OFFSET_MS + (MAX_OFFSET_MS - MIN_OFFSET_MS) * Math.random())
        await loseDiskOf('c1')
      }
      await returned
    }
    await sleep(CATCH_UP_MS)
    const status = await publish(acknowledged + 1, acknowledged, 4_000)
    if (status === 200) acknowledged++
    else break
  }
  await sleep(world.bounds['recover-s'] * 1_000)
  // The operator asks for the configuration for longer than contact-s, at all machines that run.
  let read
  for (let turn = 0; turn < 20 && read === undefined; turn++) {
    const answer = await world.order('GET', '/-/config', undefined, 500, status => status === 200)
    if (answer !== undefined) read = JSON.parse(answer.text).version
  }
  record.note(read === undefined ? 'GET /-/config: no answer with a configuration in 10 s' : `GET /-/config: version ${read}`)
  const changed = await publish(acknowledged + 1, acknowledged, 4_000)
  const ends = world.ownEnds.length
  if (ends > 0) record.note(`${ends} processes ended by themselves`)
  const isBroken = read === undefined || read < acknowledged
  record.note(isBroken
    ? `CONFIG broken: version ${acknowledged} was acknowledged, and the configuration ${read === undefined ? 'doesn\'t come' : 'is older'}`
    : `CONFIG held: version ${acknowledged} was acknowledged, ${read} read, a further change got ${changed}`)
  return isBroken ? 1 : 0
}
