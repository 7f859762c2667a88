/**
 * Chooses the calls that are logged even when they succeed. The choice depends on the call ID alone, so that all processes log the
 * same calls.
 */

/** One call in this many is sampled. */
const SAMPLING_INTERVAL = 128
const FNV_PRIME = 16_777_619
const FNV_OFFSET_BASIS = 2_166_136_261

/**
 * Tells whether a call is sampled, by the FNV-1a hash of its ID.
 * @param callId - ID of the call; calls without one are not sampled
 * @returns true when the call is logged even if it succeeds
 */
export function isSampled (callId: string): boolean {
  if (callId === '') return false
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < callId.length; index++) {
    hash = Math.imul(hash ^ callId.charCodeAt(index), FNV_PRIME) >>> 0
  }
  return hash % SAMPLING_INTERVAL === 0
}
