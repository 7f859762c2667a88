/**
 * The known control VMs: some from the settings, the others learnt from the feed.
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

  /** @param seeds - peer addresses of control VMs from the settings */
  constructor (seeds: readonly string[]) {
    this._seeds = seeds
  }

  /** @returns peer addresses, those learnt from the feed first */
  listAddresses (): string[] {
    return [...new Set([...this._members.map(member => member.address), ...this._seeds])]
  }

  /**
   * @param address - peer address
   * @returns its availability zone, or undefined when unknown
   */
  getZone (address: string): string | undefined {
    return this._members.find(member => member.address === address)?.availabilityZone
  }

  /**
   * @param address - peer address
   * @returns true when it is the address of a control VM
   */
  hasAddress (address: string): boolean {
    return this._seeds.includes(address) || this._members.some(member => member.address === address)
  }

  /**
   * Replaces the learnt control VMs; an empty list is ignored.
   * @param members - members of the group, as received from one of them
   */
  setMembers (members: readonly ControlMember[]): void {
    if (members.length === 0 || hasSameMembers(members, this._members)) return
    this._members = members
    this._onChanged.fire()
  }

  /**
   * Replaces the seeds after a change of the settings.
   * @param seeds - peer addresses of control VMs
   */
  setSeeds (seeds: readonly string[]): void {
    this._seeds = seeds
    this._onChanged.fire()
  }
}

function hasSameMembers (a: readonly ControlMember[], b: readonly ControlMember[]): boolean {
  return a.length === b.length && a.every((member, index) =>
    member.address === b[index]?.address && member.availabilityZone === b[index].availabilityZone)
}
