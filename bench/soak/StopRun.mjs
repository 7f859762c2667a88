/**
 * One soak of planned stops: nodes are stopped by SIGTERM one after the other and overlapping, and started again, while callers of all
 * kinds go on. No other fault is played, so that each call that a target has run must get its whole response.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@lagoonswitch/common'
import { waitUntil } from '../harness.mjs'
import { createConfiguration } from '../platform-world.mjs'
import { StandInOperator } from '../stand-in-platform.mjs'
import { SoakFleet } from './SoakFleet.mjs'
import { CALLER_KINDS, DEADLINE_MS, StopCaller } from './StopCaller.mjs'
import { StopChecks } from './StopChecks.mjs'
import { StopProxy } from './StopProxy.mjs'
import { StopTarget } from './StopTarget.mjs'

const STOP_TIMEOUT_MS = 6_000
const MAX_STOP_PAUSE_MS = 2_500
const MAX_DOWN_MS = 1_000
/** Nodes that may be stopped at the same time. */
const MAX_STOPPED_SHARE = 0.5
const SLOTS = 64
const STALL_POLL_MS = 20
const ROUTE_TIMEOUT_S = 10
const OBJECTIVE_S = 5
/** Lines of a node's log that belong to its stops. */
const STOP_EVENTS = /event=(stop_step|connections_closed|connection_cut|connections_\w+|process_\w+)/

/** Plays one seed. */
export class StopRun {
  /**
   * @param options - seed, controls, nodes, program (path of the bundled program), lengthMs, and keptOpen (share of callers that keep
   * their direction open when the node has closed its own)
   */
  constructor (options) {
    this.options = options
    this.actions = []
    this.violations = []
    this._random = new SeededRandom(options.seed)
    this._fleet = new SoakFleet(options.controls, options.nodes, options.program, STOP_TIMEOUT_MS)
    this._fleet.onExit = name => this._proxies.get(name)?.lose()
    this._proxies = new Map()
    this._targets = []
    this._callers = []
    /** Stops in order: node, termMs, exitMs, timeoutMs and isKilled. */
    this._stops = []
    /** Times at which the stops in progress began, by node. */
    this._stopped = new Map()
    /** Longest time for which this process itself was held up, and its end; a sign that the machine was. */
    this._stall = { lengthMs: 0, endMs: 0 }
  }

  /** Plays the seed; returns the violations, counts of calls, and the lengths of the stops in milliseconds. */
  async play () {
    await this._start()
    const stallTimer = this._watchStalls()
    const endMs = performance.now() + this.options.lengthMs
    const stopping = []
    while (performance.now() < endMs) {
      await sleep(this._random.draw() * MAX_STOP_PAUSE_MS)
      const free = this._fleet.nodes.filter(({ name }) => !this._stopped.has(name))
      const maxStopped = Math.ceil(this._fleet.nodes.length * MAX_STOPPED_SHARE)
      if (this._stopped.size < maxStopped) stopping.push(this._stopNode(free[Math.floor(this._random.draw() * free.length)]))
    }
    await Promise.all(stopping)
    for (const caller of this._callers) caller.isStopped = true
    await Promise.all(this._loads)
    clearInterval(stallTimer)
    this._log(`longest stall of the soak itself ${Math.round(this._stall.lengthMs)} ms until ${Math.round(this._stall.endMs)}`)
    const calls = this._callers.flatMap(caller => caller.calls)
    for (const call of calls) call.isUnreached = call.isProxied && this._proxies.get(call.node).refusedPorts.has(call.port)
    const runs = this._targets.flatMap(target => target.runTimes)
    const { violations, allowed } = new StopChecks(calls, runs, this._stops, DEADLINE_MS).find()
    this.violations.push(...violations.map(({ text }) => text), ...this._fleet.ownEnds.map(end => `LOST: a process ended by itself, ${end}`))
    const kinds = {}
    for (const { rule, call } of violations) {
      const kind = call === undefined ? rule : `${rule} ${call.kind}${call.isProxied ? ' proxied' : ''}${call.closesOnEnd ? '' : ' kept-open'}`
      kinds[kind] = (kinds[kind] ?? 0) + 1
    }
    return {
      served: calls.filter(({ isWhole }) => isWhole).length,
      allowed,
      kinds,
      stallMs: Math.round(this._stall.lengthMs),
      stopsMs: this._stops.map(({ termMs, exitMs }) => Math.round(exitMs - termMs)),
      violations: this.violations
    }
  }

  /** @returns the lines of the nodes' logs that belong to stops */
  listStopLines () {
    return this._fleet.nodes.flatMap(({ name }) => this._fleet.readLog(name).split('\n')
      .filter(line => STOP_EVENTS.test(line)).map(line => `${name} ${line}`))
  }

  /** Ends all processes; their logs are kept if there was a violation. */
  async stop () {
    for (const proxy of this._proxies.values()) proxy.close()
    await Promise.all(this._targets.map(async target => await target.stop().catch(() => undefined)))
    await this._fleet.stop(this.violations.length > 0)
    return this._fleet.folder
  }

  async _start () {
    await this._fleet.start()
    const { operators, targets, local, calls, callerProxies } = this._fleet.ports
    const operator = new StandInOperator(this._fleet.controls.map(({ host }) => `http://${host}:${operators}`))
    const response = await operator.order('PUT', '/-/config', createStopConfiguration())
    if (response.status !== 200) throw new Error(`the configuration was refused: ${response.text}`)
    await Promise.all(this._fleet.nodes.map(async node => await this._waitReady(node)))
    for (const { name, host } of this._fleet.nodes) {
      const beats = `http://${host}:${local}`
      const target = new StopTarget({ id: `t-${name}`, node: name, service: 'desk', host, port: targets, beats, slots: SLOTS })
      this._targets.push(target)
      await target.start()
      const proxy = new StopProxy(host, calls)
      await proxy.listen(host, callerProxies)
      this._proxies.set(name, proxy)
    }
    for (const node of this._fleet.nodes) {
      for (const kind of CALLER_KINDS) for (const isProxied of [false, true]) this._addCaller(node, kind, isProxied)
    }
    this._loads = this._callers.map(async caller => await caller.run())
  }

  _addCaller (node, kind, isProxied) {
    const { seed, keptOpen } = this.options
    const { calls, callerProxies } = this._fleet.ports
    const random = new SeededRandom(seed * 1_000 + this._callers.length)
    this._callers.push(new StopCaller({
      name: `${seed}-${node.name}-${this._callers.length}`,
      node: node.name,
      host: node.host,
      port: isProxied ? callerProxies : calls,
      kind,
      isProxied,
      closesOnEnd: random.draw() >= keptOpen,
      random,
      getStopMs: () => this._stopped.get(node.name)
    }))
  }

  async _stopNode (node) {
    const downMs = this._random.draw() * MAX_DOWN_MS
    const termMs = performance.now()
    this._stopped.set(node.name, termMs)
    const stop = { node: node.name, termMs, exitMs: Infinity, timeoutMs: STOP_TIMEOUT_MS, isKilled: false }
    this._stops.push(stop)
    this._log(`stop ${node.name}`)
    stop.isKilled = !await this._fleet.stopProcess(node.name)
    stop.exitMs = performance.now()
    await sleep(downMs)
    this._fleet.startProcess(node.name)
    await this._waitReady(node)
    this._stopped.delete(node.name)
  }

  _watchStalls () {
    let lastMs = performance.now()
    return setInterval(() => {
      const endMs = performance.now()
      if (endMs - lastMs > this._stall.lengthMs) this._stall = { lengthMs: endMs - lastMs, endMs }
      lastMs = endMs
    }, STALL_POLL_MS)
  }

  async _waitReady ({ name, host }) {
    await waitUntil(`${name} ready`, async () =>
      (await fetch(`http://${host}:${this._fleet.ports.ready}/-/ready`, { signal: AbortSignal.timeout(1_000) })).status === 200)
  }

  _log (text) {
    this.actions.push(`${Math.round(performance.now())} ${text}`)
    for (const name of this._fleet.vms.keys()) this._fleet.note(name, text)
  }
}

/** @returns a configuration with routes for short and long calls, and for uploads */
function createStopConfiguration () {
  const configuration = createConfiguration(1, 0, ['desk'], OBJECTIVE_S, ROUTE_TIMEOUT_S)
  const [{ paths }] = configuration['virtual-hosts']
  const [safe, unsafe] = paths
  paths.push(
    { ...safe, name: 'r-long-safe', 'path-prefix': '/desk/long-safe/' },
    { ...unsafe, name: 'r-long-unsafe', 'path-prefix': '/desk/long-unsafe/' },
    { ...unsafe, name: 'r-upload', 'path-prefix': '/desk/upload/', 'route-type': 'upload' })
  return configuration
}
