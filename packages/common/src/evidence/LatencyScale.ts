/**
 * Logarithmic latency buckets, the same in every process, so that histograms of several processes can be added up.
 */

const BUCKETS_PER_DOUBLING = 4
/** Upper bound of the first bucket. */
const LOWEST_MS = 0.1
/** Number of buckets; the last one has no upper bound. */
export const LATENCY_BUCKETS = 80

/**
 * Computes the bucket that a latency falls into.
 * @param durationMs - latency in milliseconds
 * @returns index of the bucket, from 0
 */
export function computeBucket (durationMs: number): number {
  if (durationMs <= LOWEST_MS) return 0
  const bucket = Math.ceil(Math.log2(durationMs / LOWEST_MS) * BUCKETS_PER_DOUBLING)
  return Math.min(bucket, LATENCY_BUCKETS - 1)
}

/**
 * Computes the upper bound of a bucket.
 * @param bucket - index of the bucket, from 0
 * @returns the bound in milliseconds
 */
export function computeBucketEndMs (bucket: number): number {
  return LOWEST_MS * 2 ** (bucket / BUCKETS_PER_DOUBLING)
}
