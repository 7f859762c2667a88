/**
 * Size of a quorum.
 */

/**
 * @param voters - number of voters
 * @returns smallest number of voters of which any two such sets share one
 */
export function computeQuorum (voters: number): number {
  return Math.floor(voters / 2) + 1
}
