/**
 * Conversions of byte arrays.
 */

/**
 * Wraps bytes as a Buffer without copying them.
 * @param bytes - any byte array
 * @returns a Buffer that shares the same memory
 */
export function toBuffer (bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
