/**
 * The control VMs that a process knows: some from its settings, the others learnt from the feed.
 */
import { Emitter } from '@lagoonswitch/common'
import type { ControlMember } from '@lagoonswitch/schema'

/** Addresses of control VMs with their availability zones. */
export class ControlDirectory {
  private readonly _onChanged = new Emitter<void>()
  private _seeds: readonly string[]
  private _members: readonly ControlMember[] = []

  /** Fires when the list has changed. */
  readonly onChanged = this._onChanged.event

  /** @param seeds - peer addresses from the settings */
  constructor (seeds: readonly string[]) {
    this._seeds = seeds
  }

  /** @returns peer addresses, learnt ones first */
  listAddresses (): string[] {
    return [...new Set([...this._members.map(member => member.address), ...this._seeds])]
  }

  /**
   * @param address - peer address
   * @returns its availability zone, or undefined when it isn't known
   */
  getZone (address: string): string | undefined {
    return this._members.find(member => member.address === address)?.availabilityZone
  }

  /**
   * @param address - peer address
   * @returns true for a control VM
   */
  hasAddress (address: string): boolean {
    return this._seeds.includes(address) || this._members.some(member => member.address === address)
  }

  /** Takes the members of the group as its leader or a follower holds them. */
  setMembers (members: readonly ControlMember[]): void {
    if (members.length === 0 || areSame(members, this._members)) return
    this._members = members
    this._onChanged.fire()
  }

  /** Takes other seeds, after a change of the settings. */
  setSeeds (seeds: readonly string[]): void {
    this._seeds = seeds
    this._onChanged.fire()
  }
}

function areSame (a: readonly ControlMember[], b: readonly ControlMember[]): boolean {
  return a.length === b.length && a.every((member, index) =>
    member.address === b[index]?.address && member.availabilityZone === b[index].availabilityZone)
}
