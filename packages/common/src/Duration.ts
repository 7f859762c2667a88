/**
 * Durations in text form: a number and a unit.
 */
const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 }

/**
 * Parses a duration such as 250ms, 2s or 24h; fractions and exponents are allowed and not rounded.
 * @param text - the text
 * @returns the duration in milliseconds, or undefined when the text is not a duration
 */
export function parseDurationMs (text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?(?:e[+-]?\d+)?)(ms|s|m|h|d)$/.exec(text)
  if (match === null) return undefined
  return Number(match[1]) * (UNIT_MS[match[2] ?? ''] ?? Number.NaN)
}
