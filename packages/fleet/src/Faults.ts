/**
 * Faults that strike the VMs of a fleet.
 */
import { DisposableStore, toDisposable, type IDisposable, type IRandom } from '@lagoonswitch/common'
import type { FaultKind } from './FaultKinds.js'
import type { Fleet } from './Fleet.js'
import type { FleetControl } from './FleetControl.js'
import type { FleetNode } from './FleetNode.js'
import type { ModelMachine } from './ModelMachine.js'

/** Share of the nodes that a fault of many strikes. */
const STRUCK_SHARE = 0.15
/** Share of the nodes that one step of a rolling restart strikes. */
const ROLLING_SHARE = 0.05
const ROLLING_STEP_MS = 400
/** Time from the drain of a node until its process ends in a planned stop. */
const DRAIN_MS = 500
const RESTART_MS = 300
/** Speed of a slow VM, as a share of the usual one. */
const SLOW_SPEED = 0.1

/** What a fault has to work with. */
interface IFaultContext {
  readonly fleet: Fleet
  readonly random: IRandom
}

/** Starts a fault and returns its end. */
type StartFault = (context: IFaultContext) => IDisposable

const FAULTS: Readonly<Record<FaultKind, StartFault>> = {
  'leader-frozen': context => freezeAll([pickLeader(context)]),
  'leader-lost': context => loseAll([pickLeader(context)]),
  'leader-restart': context => restartAll([pickLeader(context)], context),
  'leader-cut-off': context => cutOffControl(pickLeader(context), context),
  'leader-deaf': context => cutInbound(pickLeader(context), context),
  'control-frozen': context => freezeAll([pick(context.fleet.controls, context)]),
  'control-lost': context => loseAll([pick(context.fleet.controls, context)]),
  'control-slow': context => slowAll([pick(context.fleet.controls, context)]),
  'control-cut-off': context => cutOffControl(pick(context.fleet.controls, context), context),
  'connections-reset': context => resetAll(pickShare(context.fleet.nodes, STRUCK_SHARE, context), context),
  'relay-lost': context => loseAll(listRelays(context).slice(0, 1)),
  'relays-frozen': context => freezeAll(listRelays(context)),
  'nodes-frozen': context => freezeAll(pickShare(context.fleet.nodes, STRUCK_SHARE, context)),
  'nodes-lost': context => loseAll(pickShare(context.fleet.nodes, STRUCK_SHARE, context)),
  'nodes-slow': context => slowAll(pickShare(context.fleet.nodes, STRUCK_SHARE, context)),
  'zone-cut-off': context => cutOffZone(context),
  'rolling-stop': context => stopInTurn(context),
  'all-restart': context => restartAll([...context.fleet.controls, ...context.fleet.nodes], context),
  'roll-out': ({ fleet }) => {
    fleet.addNodes(fleet.nodes.length)
    return toDisposable(() => {})
  }
}

/**
 * Starts a fault.
 * @param kind - of the fault
 * @param fleet - that it strikes
 * @param random - chooses the VMs
 * @returns ends it; a fault that lasts for a time of its own ignores this
 */
export function startFault (kind: FaultKind, fleet: Fleet, random: IRandom): IDisposable {
  return FAULTS[kind]({ fleet, random })
}

type FleetProcess = FleetControl | FleetNode

function freezeAll (processes: readonly FleetProcess[]): IDisposable {
  const ends = new DisposableStore()
  for (const { machine } of processes.filter(isRunning)) {
    ends.add(machine.disturb())
    machine.freeze()
    ends.add(toDisposable(() => { if (machine.state === 'frozen') machine.thaw() }))
  }
  return ends
}

/** The VMs are gone without notice; they start again at the end. */
function loseAll (processes: readonly FleetProcess[]): IDisposable {
  const ends = new DisposableStore()
  for (const process of processes.filter(isRunning)) {
    ends.add(process.machine.disturb())
    process.machine.lose()
    ends.add(toDisposable(() => process.restart()))
  }
  return ends
}

function restartAll (processes: readonly FleetProcess[], { fleet }: IFaultContext): IDisposable {
  for (const process of processes.filter(isRunning)) {
    const disturbance = process.machine.disturb()
    process.end()
    fleet.time.schedule(RESTART_MS, () => {
      process.restart()
      disturbance.dispose()
    })
  }
  return toDisposable(() => {})
}

/** Stops nodes as planned, some at a time, and starts them again. */
function stopInTurn (context: IFaultContext): IDisposable {
  const { fleet } = context
  let isEnded = false
  const stopNext = (): void => {
    if (isEnded) return
    const stopped = pickShare(fleet.nodes, ROLLING_SHARE, context).filter(isRunning)
    for (const node of stopped) node.drain()
    fleet.time.schedule(DRAIN_MS, () => { restartAll(stopped, context) })
    fleet.time.schedule(ROLLING_STEP_MS, stopNext)
  }
  stopNext()
  return toDisposable(() => { isEnded = true })
}

function slowAll (processes: readonly FleetProcess[]): IDisposable {
  const ends = new DisposableStore()
  for (const { machine } of processes) {
    ends.add(machine.disturb())
    machine.setSpeed(SLOW_SPEED)
    ends.add(toDisposable(() => machine.setSpeed(1)))
  }
  return ends
}

function resetAll (nodes: readonly FleetNode[], { fleet }: IFaultContext): IDisposable {
  for (const { machine } of nodes) {
    machine.disturb().dispose()
    fleet.network.reset(machine)
  }
  return toDisposable(() => {})
}

/** Cuts both directions between some VMs and all others of a list. */
function cutOff (inside: readonly ModelMachine[], all: readonly ModelMachine[], { fleet: { network } }: IFaultContext): IDisposable {
  const outside = all.filter(machine => !inside.includes(machine))
  const ends = new DisposableStore()
  for (const one of inside) {
    for (const other of outside) {
      network.cut(one, other)
      network.cut(other, one)
      ends.add(toDisposable(() => {
        network.join(one, other)
        network.join(other, one)
      }))
    }
  }
  return ends
}

/** Cuts a control VM off from the others, but not from the nodes. */
function cutOffControl ({ machine }: FleetControl, context: IFaultContext): IDisposable {
  const ends = new DisposableStore()
  ends.add(machine.disturb())
  ends.add(cutOff([machine], listControlMachines(context), context))
  return ends
}

/** Cuts the direction from the other control VMs to one. */
function cutInbound ({ machine }: FleetControl, context: IFaultContext): IDisposable {
  const { network } = context.fleet
  const ends = new DisposableStore()
  ends.add(machine.disturb())
  for (const other of listControlMachines(context).filter(one => one !== machine)) {
    network.cut(other, machine)
    ends.add(toDisposable(() => network.join(other, machine)))
  }
  return ends
}

function cutOffZone (context: IFaultContext): IDisposable {
  const { fleet } = context
  const { availabilityZone } = pick(fleet.nodes, context).machine
  const all = [...listControlMachines(context), ...fleet.nodes.map(({ machine }) => machine)]
  const inside = all.filter(machine => machine.availabilityZone === availabilityZone)
  const ends = new DisposableStore()
  for (const machine of inside) ends.add(machine.disturb())
  ends.add(cutOff(inside, all, context))
  return ends
}

function isRunning ({ machine }: FleetProcess): boolean {
  return machine.state === 'running'
}

function pick<T> (items: readonly T[], { random }: IFaultContext): T {
  const item = items[Math.floor(random.draw() * items.length)]
  if (item === undefined) throw new Error('the fleet has no VM of this kind')
  return item
}

function pickShare<T> (items: readonly T[], share: number, { random }: IFaultContext): T[] {
  return items.filter(() => random.draw() < share)
}

function pickLeader (context: IFaultContext): FleetControl {
  return context.fleet.findLeader() ?? pick(context.fleet.controls, context)
}

function listControlMachines ({ fleet }: IFaultContext): ModelMachine[] {
  return fleet.controls.map(({ machine }) => machine)
}

/** Lists the relays, the one with most subscribers first. */
function listRelays ({ fleet }: IFaultContext): FleetNode[] {
  return fleet.nodes.filter(({ feed }) => feed.relay.getStreamCount() > 0)
    .sort((one, other) => other.feed.relay.getStreamCount() - one.feed.relay.getStreamCount())
}
