/**
 * Chooses the calls whose good course is logged; all processes choose the same ones.
 */

/** One call in so many is logged. */
const SAMPLED_ONE_IN = 128
const HASH_PRIME = 16_777_619
const HASH_START = 2_166_136_261

/**
 * @param callId - identity of the call
 * @returns true when its course is logged though it goes well
 */
export function isSampled (callId: string): boolean {
  if (callId === '') return false
  let hash = HASH_START
  for (let index = 0; index < callId.length; index++) {
    hash = Math.imul(hash ^ callId.charCodeAt(index), HASH_PRIME) >>> 0
  }
  return hash % SAMPLED_ONE_IN === 0
}
