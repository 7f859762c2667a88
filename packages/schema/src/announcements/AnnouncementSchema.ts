/**
 * Schemas of what a target may announce about itself, under whatever names it comes. All of it is told to all processes, so a value
 * that one of them can't encode or use would stop them all.
 */
import { isIP } from 'node:net'
import { z } from 'zod'

/** Highest number of slots, and of connections, that a target may announce. */
const MAX_SLOTS = 10_000
/** Longest time that a target may take to reach its full speed, in seconds: one day. */
const MAX_WARMUP_S = 86_400
/** Latest start that a target may state, in milliseconds since the Unix epoch; a later one would outlast every restart of the target. */
const MAX_START_MS = Date.UTC(2100, 0, 1)
/** Highest number of an announcement, which leaves room to count on within 53 bits. */
const MAX_SEQUENCE = 2 ** 48
const MAX_PORT = 65_535

/** Id of a target, or the name of its service or version: sent in headers and written to logs. */
export const TARGET_NAME = z.string().regex(/^[!-~]{1,128}$/, 'use 1 to 128 printable ASCII characters without spaces')
/** Address of a target's HTTP listener. */
export const TARGET_ADDRESS = z.string().refine(isAddress, `use IP:PORT, with a port from 1 to ${MAX_PORT}`)
/** Calls that a target runs at the same time, or connections that it accepts. */
export const TARGET_SLOTS = z.number().int().min(1).max(MAX_SLOTS)
/** Number of an announcement since the target started. */
export const ANNOUNCEMENT_SEQUENCE = z.number().int().min(0).max(MAX_SEQUENCE)
/** Time until a target reaches its full speed, in seconds. */
export const WARMUP_S = z.number().min(0).max(MAX_WARMUP_S)
/** Wall-clock time at which a target started, in milliseconds since the Unix epoch. */
export const TARGET_START_MS = z.number().int().min(0).max(MAX_START_MS)

function isAddress (text: string): boolean {
  const match = /^(localhost|\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const [, host, ipv6, , port] = match
  const isHost = host === 'localhost' || isIP(ipv6 ?? host ?? '') === (ipv6 === undefined ? 4 : 6)
  return isHost && Number(port) >= 1 && Number(port) <= MAX_PORT
}
