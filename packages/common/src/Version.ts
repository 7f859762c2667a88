/**
 * Versions of the catalogue: their total order, first by epoch and then by version, and their text form.
 */

/** A version of the whole catalogue. The epoch changes only when the control VMs bootstrap a new catalogue. */
export interface ICatalogueVersion {
  readonly epoch: number
  readonly version: number
}

/** Lower than every version that a catalogue can have. */
export const NO_VERSION: ICatalogueVersion = { epoch: 0, version: 0 }

/**
 * Compares two versions.
 * @param a - first version
 * @param b - second version
 * @returns a negative number, zero or a positive number when a is lower than, equal to or higher than b
 */
export function compareVersions (a: ICatalogueVersion, b: ICatalogueVersion): number {
  return a.epoch - b.epoch || a.version - b.version
}

/**
 * Formats a version as EPOCH.VERSION.
 * @param version - a version
 * @returns the text
 */
export function formatVersion (version: ICatalogueVersion): string {
  return `${version.epoch}.${version.version}`
}

/**
 * Parses EPOCH.VERSION.
 * @param text - the text
 * @returns the version, or undefined when the text is not a version
 */
export function parseVersion (text: string): ICatalogueVersion | undefined {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text)
  if (match === null) return undefined
  return { epoch: Number(match[1]), version: Number(match[2]) }
}
