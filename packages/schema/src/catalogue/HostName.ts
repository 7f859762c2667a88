/**
 * Names of hosts, as declared and as callers send them.
 */

/**
 * @param host - host of a declaration or of a request, in any case and perhaps with a port
 * @returns the name by which hosts are compared
 */
export function parseHost (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}
