/**
 * Chooses the calls whose good course is logged; all processes choose the same ones.
 */

/** One call in so many is logged. */
const SAMPLING_INTERVAL = 128
const FNV_PRIME = 16_777_619
const FNV_OFFSET_BASIS = 2_166_136_261

/**
 * @param callId - identity of the call
 * @returns true when its course is logged though it goes well
 */
export function isSampled (callId: string): boolean {
  if (callId === '') return false
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < callId.length; index++) {
    hash = Math.imul(hash ^ callId.charCodeAt(index), FNV_PRIME) >>> 0
  }
  return hash % SAMPLING_INTERVAL === 0
}
