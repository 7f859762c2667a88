/**
 * One soak: real processes under load, faults at seeded random times that overlap, and checks of what callers, targets and the
 * operator have seen.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@lagoonswitch/common'
import { waitUntil } from '../harness.mjs'
import { FaultProxy, PROXY_FAULTS } from './FaultProxy.mjs'
import { SoakClient } from './SoakClient.mjs'
import { KeyChecks } from './KeyChecks.mjs'
import { SoakFleet } from './SoakFleet.mjs'
import { SoakKeys } from './SoakKeys.mjs'
import { SoakOperator } from './SoakOperator.mjs'
import { SoakTarget } from './SoakTarget.mjs'

const MAX_ACTION_PAUSE_MS = 1_200
const MIN_DOWN_MS = 300
const MAX_DOWN_MS = 3_000
const MAX_PAUSED_MS = 2_500
const MAX_PROXY_FAULT_MS = 2_000
/** Time that a target serves on after its withdrawal. */
const SERVES_ON_MS = 6_000
/** Time after the acknowledgement of a withdrawal from which the target must get no calls. */
const DRAIN_MS = 2_000
/** A process that was paused may send on late what it had read; its calls are not counted until so long after. */
const CONTACT_MS = 3_000
/** A control VM counts as lost until so long after its last start, since a new replica must become a voter first. */
const CATCH_UP_MS = 6_000
const POLL_MS = 100
/** Time within which everything must work after the last fault. */
const RECOVER_MS = 15_000
/** Announcements that the target sent before its withdrawal arrive at such intervals. */
const LATE_ANNOUNCEMENT_PAUSE_MS = 500
const WORK_MS = 20
/** Calls that each target takes at once, so few that it is often full. */
const SLOTS = 3
/** Withdrawn keys that are tried once more at each node after the last fault. */
const LAST_KEYS = 5
const CLIENT_PAUSE_MS = 80
/** Share of the calls without a key among those of callers that use withdrawn ones. */
const NO_KEY_SHARE = 0.2
/** Share of the withdrawals that are followed by a kill of all processes. */
const KILL_AFTER_ACK_SHARE = 0.4

/** Plays one seed. */
export class SoakRun {
  /** @param options - seed, controls, nodes, program (path of the bundled program), lengthMs */
  constructor (options) {
    this.options = options
    this.actions = []
    this.violations = []
    this._random = new SeededRandom(options.seed)
    this._keys = new SoakKeys(new SeededRandom(options.seed + 1_000_000))
    this._isLeaked = text => this._keys.isLeaked(text)
    /** Times at which processes were down or paused. */
    this._disturbances = []
    this._fleet = new SoakFleet(options.controls, options.nodes, options.program)
    this._targets = []
    this._clients = []
    this._proxies = []
    this._currentTargets = new Map()
    /** VMs whose process is down or paused by an action. */
    this._disturbed = new Set()
    this._pauses = []
    this._isKillingAll = false
    this._targetCount = 0
    this._running = []
  }

  /** Plays the seed; returns the violations, and the number of calls that were served, refused and neither. */
  async play () {
    const { lengthMs } = this.options
    await this._start()
    const endMs = performance.now() + lengthMs
    while (performance.now() < endMs) {
      await sleep(this._random.draw() * MAX_ACTION_PAUSE_MS)
      this._running.push(this._act())
    }
    // Actions may start others.
    for (const action of this._running) await action
    await this._checkRecovery()
    this._operator.isStopped = true
    for (const client of this._clients) client.isStopped = true
    await Promise.all(this._loads)
    this._checkCalls()
    this._checkWithdrawals()
    this._checkKeys()
    this.violations.push(...this._operator.violations, ...this._fleet.ownEnds.map(end => `LOST: a process ended by itself, ${end}`))
    const calls = this._clients.flatMap(client => client.calls)
    const served = calls.filter(call => call.status === 200).length
    const refused = calls.filter(call => call.isRefused).length
    const uploads = calls.filter(call => call.status === 200 && call.id.includes('-upload-')).length
    const hangs = this._targets.reduce((sum, target) => sum + target.hangs, 0)
    const { length: published } = this._operator.acknowledged
    const failed = calls.length - served - refused
    return { violations: this.violations, served, refused, failed, published, uploads, keys: this._keys.states.size, hangs }
  }

  /** Ends all processes; their logs are kept if there was a violation. */
  async stop () {
    for (const proxy of this._proxies) proxy.close()
    await Promise.all(this._targets.map(async target => await target.stop().catch(() => undefined)))
    await this._fleet.stop(this.violations.length > 0)
    return this._fleet.folder
  }

  async _start () {
    await this._fleet.start()
    const { operators, ready, calls, targets, targetProxies, callerProxies } = this._fleet.ports
    // Draws of its own: the operator's times vary, and the faults of a seed must not.
    const random = new SeededRandom(this.options.seed + 2_000_000)
    this._operator = new SoakOperator(this._fleet.controls.map(vm => `http://${vm.host}:${operators}`), random, this._keys)
    await waitUntil('the first configuration', async () => {
      await this._operator.publishOnce()
      return this._operator.acknowledged.length > 0
    })
    await waitUntil('all nodes ready', async () => await this._areNodesReady(ready))
    for (const node of this._fleet.nodes) {
      node.targetProxy = await this._createProxy(node.host, targets, targetProxies)
      node.callerProxy = await this._createProxy(node.host, calls, callerProxies)
      await this._startTarget(node)
      const [safeKey, unsafeKey, uploadKey] = this._keys.lasting
      this._addClient(node, 'safe', calls, () => safeKey, 40)
      this._addClient(node, 'unsafe', callerProxies, () => unsafeKey, 40)
      this._addClient(node, 'upload', callerProxies, () => uploadKey)
      this._addClient(node, 'unsafe', calls, () => this._keys.pickKey(false))
      this._addClient(node, 'safe', calls, () => Math.random() < NO_KEY_SHARE ? undefined : this._keys.pickKey(true))
      this._addClient(node, 'open', calls, () => undefined)
    }
    this._loads = [
      ...this._clients.map(async client => await client.run()), this._operator.publishRepeatedly(), this._operator.readRepeatedly()
    ]
  }

  _addClient (node, kind, port, getKey, pauseMs = CLIENT_PAUSE_MS) {
    const name = `${this.options.seed}-${node.name}-${this._clients.length}-${kind}`
    const client = new SoakClient({ name, node: node.name, host: node.host, port, kind, getKey, isLeaked: this._isLeaked, pauseMs })
    this._clients.push(client)
    return client
  }

  async _createProxy (host, port, listenPort) {
    const proxy = new FaultProxy(host, port)
    await proxy.listen(host, listenPort)
    this._proxies.push(proxy)
    return proxy
  }

  async _startTarget (node) {
    const { local, targets, targetProxies } = this._fleet.ports
    const target = new SoakTarget({
      id: `t${++this._targetCount}`,
      service: 'desk',
      host: node.host,
      port: targets,
      announcedPort: targetProxies,
      beats: `http://${node.host}:${local}`,
      workMs: WORK_MS,
      slots: SLOTS,
      isLeaked: this._isLeaked
    })
    this._targets.push(target)
    this._currentTargets.set(node.name, target)
    await target.start()
  }

  /** Takes one random action; it lasts while others begin. */
  async _act () {
    const kinds = ['kill', 'kill', 'pause', 'stop', 'hangup', 'disk', 'kill-all', 'withdraw', 'withdraw', 'crash', 'proxy', 'proxy', 'hang', 'hang']
    const kind = this._pick(kinds)
    const vm = this._pick([...this._fleet.vms.values()])
    const node = this._pick(this._fleet.nodes)
    const downMs = MIN_DOWN_MS + this._random.draw() * MAX_DOWN_MS
    const isDraining = this._random.draw() < 0.5
    const isKillFollowing = this._random.draw() < KILL_AFTER_ACK_SHARE
    const fault = this._pick([...PROXY_FAULTS.slice(1), 'reset'])
    const proxy = this._random.draw() < 0.5 ? node.targetProxy : node.callerProxy
    this._log(`${kind} ${['withdraw', 'crash', 'proxy', 'hang'].includes(kind) ? node.name : kind === 'kill-all' ? '' : vm.name} ${kind === 'proxy' ? fault : ''}`)
    switch (kind) {
      case 'kill': return await this._disturb(vm, async () => await this._restart(vm.name, downMs, false))
      case 'stop': return await this._disturb(vm, async () => await this._restart(vm.name, downMs / 4, true))
      case 'disk': return await this._disturb(vm, async () => await this._restart(vm.name, downMs, false, vm.role === 'control'))
      case 'pause': return await this._disturb(vm, async () => await this._pause(vm.name, Math.min(downMs, MAX_PAUSED_MS)))
      case 'hangup': return this._fleet.signal(vm.name, 'SIGHUP')
      case 'kill-all': return await this._killAll(downMs / 4)
      case 'withdraw': return await this._withdrawTarget(node, isDraining, isKillFollowing, downMs)
      case 'crash': return await this._crashTarget(node, downMs)
      case 'hang': return await this._disturbTarget(node, Math.min(downMs, MAX_PROXY_FAULT_MS))
      case 'proxy': return await this._disturbProxy(proxy, fault, Math.min(downMs, MAX_PROXY_FAULT_MS))
    }
  }

  /** One control VM may be lost at a time, or a minority; nodes may be lost in any number. */
  async _disturb (vm, run) {
    const lostControls = this._fleet.controls.filter(({ name }) => this._disturbed.has(name)).length
    const mayBeLost = vm.role === 'node' || lostControls + 1 <= Math.floor((this.options.controls - 1) / 2)
    if (this._disturbed.has(vm.name) || !mayBeLost) return
    this._disturbed.add(vm.name)
    const fromMs = performance.now()
    const disturbance = { name: vm.name, isControl: vm.role === 'control', fromMs, toMs: Infinity }
    this._disturbances.push(disturbance)
    await run()
    disturbance.toMs = performance.now()
    // A kill of all processes interrupts the catch-up, so that the VM stays lost for longer.
    while (vm.role === 'control' && this._fleet.getUptimeMs(vm.name) < CATCH_UP_MS) await sleep(POLL_MS)
    this._disturbed.delete(vm.name)
  }

  async _restart (name, downMs, isPlanned, losesDisk = false) {
    if (isPlanned) await this._fleet.stopProcess(name)
    else await this._fleet.kill(name)
    if (losesDisk) this._fleet.loseDisk(name)
    await sleep(downMs)
    this._fleet.startProcess(name)
  }

  async _pause (name, pausedMs) {
    this._fleet.signal(name, 'SIGSTOP')
    await sleep(pausedMs)
    this._fleet.signal(name, 'SIGCONT')
    this._pauses.push(performance.now())
  }

  /** All processes are killed at once and start again within a second; disks are kept. */
  async _killAll (downMs) {
    if (this._isKillingAll) return
    this._isKillingAll = true
    const names = [...this._fleet.vms.keys()]
    const fromMs = performance.now()
    await Promise.all(names.map(async name => await this._fleet.kill(name)))
    await sleep(downMs)
    for (const name of names) this._fleet.startProcess(name)
    this._disturbances.push({ name: 'all', isControl: true, fromMs, toMs: performance.now() })
    this._isKillingAll = false
  }

  /** A target leaves, serves on, and announcements of it arrive late; another one takes its address. */
  async _withdrawTarget (node, isDraining, isKillFollowing, downMs) {
    const target = this._takeTarget(node)
    if (target === undefined) return
    await target.withdrawFully(isDraining)
    if (isKillFollowing) this._running.push(this._killAll(downMs / 4))
    const endMs = performance.now() + SERVES_ON_MS
    while (performance.now() < endMs) {
      await sleep(LATE_ANNOUNCEMENT_PAUSE_MS)
      await target.beat(1, 'ready').catch(() => undefined)
    }
    await target.stop()
    await this._startTarget(node)
  }

  async _crashTarget (node, downMs) {
    const target = this._takeTarget(node)
    if (target === undefined) return
    await target.stop()
    await sleep(downMs)
    await this._startTarget(node)
  }

  /** The target of a node, or another one if that has none, behaves as if it were full. */
  async _disturbTarget (node, durationMs) {
    const target = this._currentTargets.get(node.name) ?? this._currentTargets.values().next().value
    target.capacity = 0
    await sleep(durationMs)
    target.capacity = SLOTS
  }

  /** Takes the target of a node if no other action changes it, and if another one is left. */
  _takeTarget (node) {
    const target = this._currentTargets.get(node.name)
    if (target === undefined || this._currentTargets.size === 1) return undefined
    this._currentTargets.delete(node.name)
    return target
  }

  async _disturbProxy (proxy, fault, durationMs) {
    if (fault === 'reset') {
      proxy.reset()
      return
    }
    proxy.fault = fault
    await sleep(durationMs)
    proxy.fault = 'none'
    // Bytes are missing on the connections of this time.
    proxy.reset()
  }

  /** After the last fault every node must be ready and serve, and the newest configuration must be read. */
  async _checkRecovery () {
    const { calls, ready } = this._fleet.ports
    this._log('no more faults')
    try {
      await waitUntil('all nodes ready', async () => await this._areNodesReady(ready), RECOVER_MS)
      for (const node of this._fleet.nodes) {
        const probe = this._addClient(node, 'safe', calls, () => this._keys.lasting[0])
        await waitUntil(`a call at ${node.name}`, async () => (await probe.callOnce()).status === 200, RECOVER_MS)
        for (const key of this._keys.withdrawn.slice(-LAST_KEYS)) await probe.callOnce(key)
      }
      const newest = this._operator.acknowledged.at(-1).version
      await waitUntil(`a read of version ${newest}`, async () => (await this._operator.readOnce() ?? 0) >= newest, RECOVER_MS)
    } catch (error) {
      this.violations.push(`RECOVER: ${error.message}`)
    }
  }

  _checkCalls () {
    const runs = new Map()
    for (const target of this._targets) {
      for (const [id, count] of target.runs) runs.set(id, (runs.get(id) ?? 0) + count)
    }
    for (const { id, status, isSafe, isWhole, isRefused } of this._clients.flatMap(client => client.calls)) {
      if (status === 200 && !isWhole) this.violations.push(`MIXED: ${id} got another response, or not all of its own`)
      if (!isSafe && (runs.get(id) ?? 0) > 1) this.violations.push(`TWICE: ${id} ran ${runs.get(id)} times`)
      if (!isSafe && isRefused && runs.has(id)) this.violations.push(`REFUSED: ${id} was refused with ${status} and ran`)
    }
  }

  _checkWithdrawals () {
    for (const { options, runTimes, withdrawnMs } of this._targets) {
      if (withdrawnMs === undefined) continue
      const late = runTimes.filter(({ atMs }) =>
        atMs > withdrawnMs + DRAIN_MS && !this._pauses.some(endMs => Math.abs(atMs - endMs) < CONTACT_MS))
      for (const { id, atMs } of late) {
        this.violations.push(`DRAIN: ${id} ran at ${options.id} ${Math.round(atMs - withdrawnMs)} ms after its withdrawal was acknowledged`)
      }
    }
  }

  _checkKeys () {
    const calls = this._clients.flatMap(client => client.calls)
    const runs = this._targets.flatMap(target => target.runTimes)
    this.violations.push(...new KeyChecks(this._keys, calls, this._disturbances, this._fleet.starts).findViolations(runs))
    this.violations.push(...this._targets.flatMap(target => target.violations))
    for (const { id, isLeaking } of calls) if (isLeaking) this.violations.push(`LEAK: the response to ${id} contains a key`)
    for (const name of this._fleet.vms.keys()) {
      if (this._isLeaked(this._fleet.readLog(name))) this.violations.push(`LEAK: the log of ${name} contains a key`)
    }
  }

  async _areNodesReady (port) {
    const statuses = await Promise.all(this._fleet.nodes.map(async ({ host }) =>
      (await fetch(`http://${host}:${port}/-/ready`, { signal: AbortSignal.timeout(1_000) })).status))
    return statuses.every(status => status === 200)
  }

  _pick (items) {
    return items[Math.floor(this._random.draw() * items.length)]
  }

  _log (text) {
    this.actions.push(`${Math.round(performance.now())} ${text}`)
    for (const name of this._fleet.vms.keys()) this._fleet.note(name, text)
  }
}
