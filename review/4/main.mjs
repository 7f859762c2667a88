/**
 * An upstream leaves: it sends DELETE, gets the ack and serves on for some seconds. Right after the ack all processes of the system are
 * killed and are back within a second. A ping that the upstream sent before it left arrives late (TROUBLE=0: nothing is killed; the late
 * ping arrives as well).
 */
import { Deployment, Record, Target, createConfiguration, send, sleep } from '../lib/deployment.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const DRAIN_S = 2
const CONTACT_S = 3
const DOWN_MS = 500
/** Time from the ack until the late ping arrives. */
const PING_DELAY_MS = 4_000
/** How long the upstream serves on after the ack. */
const SERVES_ON_MS = 14_000
const PAUSE_MS = 25

const record = new Record('.')
const deployment = new Deployment(record, { controls: 5, nodes: 3 })

async function play () {
  await deployment.plan(['desk'])
  deployment.startAll()
  const accepted = await deployment.order('PUT', '/-/config', createConfiguration(1, 0, ['desk']))
  if (accepted?.status !== 200) throw new Error('the configuration was not accepted')
  await deployment.waitReady()
  const targets = deployment.nodes.map(node => new Target(deployment, node, { workMs: 30 }))
  for (const target of targets) await target.start()
  await sleep(4_000)
  const [leaving] = targets
  const traffic = { isOn: true }
  const answers = []
  const clients = deployment.nodes.map(async (node, index) => {
    for (let count = 0; traffic.isOn; count++) {
      const { id, status } = await send(deployment, node, { path: '/desk/safe/x', id: `s${index}-${count}`, deadlineMs: 2_000 })
      answers.push({ id, status })
      record.write(`client of ${node.name} ${id}: ${status}`)
      await sleep(PAUSE_MS)
    }
  })
  await sleep(2_000)
  // This ping stays on its way; all later ones have a higher sequence.
  const latePing = leaving.createBeat()
  record.write(`upstream ${leaving.id} sends ping ${latePing.status.sequence} (late) `)
  await leaving.beat()
  leaving.stopBeats()
  const status = await leaving.call('DELETE')
  const ackedMs = performance.now()
  record.write(`upstream ${leaving.id} sent DELETE: ${status}`)
  if (status !== 200) throw new Error('the upstream got no ack')
  const machines = [...deployment.controls, ...deployment.nodes]
  if (HAS_TROUBLE) {
    await sleep(100)
    for (const { name } of machines) deployment.kill(name, 'SIGKILL')
    await Promise.all(machines.map(async ({ name }) => await deployment.waitEnded(name)))
    await sleep(DOWN_MS)
    for (const machine of machines) deployment.startProcess(machine)
  }
  const backMs = performance.now()
  await sleep(Math.max(0, ackedMs + PING_DELAY_MS - performance.now()))
  record.write(`late ping ${latePing.status.sequence} of ${leaving.id} arrives: ${await leaving.beat(latePing)}`)
  await sleep(Math.max(0, ackedMs + SERVES_ON_MS - performance.now()))
  await leaving.stop()
  record.write(`upstream ${leaving.id} ends`)
  traffic.isOn = false
  await Promise.all(clients)
  for (const target of targets.slice(1)) await target.stop()
  // Twice contact-s after all processes are back, every machine is in touch.
  const fromMs = Math.max(ackedMs + DRAIN_S * 1_000, HAS_TROUBLE ? backMs + 2 * CONTACT_S * 1_000 : 0)
  const runsAfter = leaving.runs.filter(({ atMs }) => atMs > fromMs)
  for (const { id, atMs } of runsAfter) record.write(`upstream ${leaving.id} ran ${id} ${Math.round(atMs - ackedMs)} ms after the ack`)
  record.write(`requests answered with 200: ${answers.filter(({ status }) => status === 200).length} of ${answers.length}; ` +
    `runs of ${leaving.id} after the ack by more than drain-s: ${leaving.runs.filter(({ atMs }) => atMs > ackedMs + DRAIN_S * 1_000).length}, ` +
    `of them from machines in touch: ${runsAfter.length}`)
  if (answers.filter(({ status }) => status === 200).length < 100) throw new Error('too few requests were served')
  return runsAfter.length > 0
}

let code = 2
try {
  code = await play() ? 1 : 0
} catch (error) {
  record.write(`could not run: ${error.stack}`)
}
await deployment.stop()
record.write(code === 1 ? 'DRAIN is broken' : code === 0 ? 'the rule held' : 'no result')
process.exit(code)
