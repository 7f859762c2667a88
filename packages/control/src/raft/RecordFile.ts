/**
 * Checksummed records in a file, and the rule that distinguishes a torn tail from other damage.
 */
import { crc32 } from 'node:zlib'
import { Err, Ok, StorageError, type Result } from '@lagoonswitch/common'

const HEADER_BYTES = 12
const LENGTH_BYTES = 4
/** Zeros at the end of the file that distinguish an interrupted write from a flipped bit. */
const MIN_ZERO_TAIL_BYTES = 8
const MAX_RECORD_BYTES = 256 * 1024 * 1024

/** Records found in a file. */
export interface IRecordScan {
  readonly records: Uint8Array[]
  /** Offset of the end of each record. */
  readonly ends: number[]
}

/**
 * Encodes one record: length, checksum of the length, checksum of the payload, payload.
 * @param payload - content
 * @returns the bytes to write
 */
export function encodeRecord (payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  record.writeUInt32LE(payload.length, 0)
  record.writeUInt32LE(crc32(record.subarray(0, LENGTH_BYTES)), LENGTH_BYTES)
  record.writeUInt32LE(crc32(payload), LENGTH_BYTES * 2)
  record.set(payload, HEADER_BYTES)
  return record
}

/**
 * Reads all records. Bytes after the last valid record are ignored only if an interrupted append can have left them: an
 * incomplete record, or one that ends in zeros up to the end of the file. Anything else may be a damaged record that was
 * acknowledged, so it is an error.
 * @param data - content of the file
 * @param file - name used in messages
 * @returns the records before the torn tail
 */
export function scanRecords (data: Buffer, file: string): Result<IRecordScan, StorageError> {
  const records: Uint8Array[] = []
  const ends: number[] = []
  let offset = 0
  while (offset < data.length) {
    const remainingBytes = data.length - offset
    if (remainingBytes < HEADER_BYTES || isZeroFrom(data, offset)) break
    const length = data.readUInt32LE(offset)
    const headerCrc = data.readUInt32LE(offset + LENGTH_BYTES)
    if (crc32(data.subarray(offset, offset + LENGTH_BYTES)) !== headerCrc || length > MAX_RECORD_BYTES) {
      return Err(createDamageError(file, offset))
    }
    if (remainingBytes < HEADER_BYTES + length) break
    const payload = data.subarray(offset + HEADER_BYTES, offset + HEADER_BYTES + length)
    if (crc32(payload) !== data.readUInt32LE(offset + LENGTH_BYTES * 2)) {
      if (length > 0 && hasZeroTail(data, offset + HEADER_BYTES)) break
      return Err(createDamageError(file, offset))
    }
    offset += HEADER_BYTES + length
    records.push(payload)
    ends.push(offset)
  }
  return Ok({ records, ends })
}

/** An interrupted write to a file that had been extended before leaves zeros at the end of the file. */
function hasZeroTail (data: Buffer, from: number): boolean {
  return isZeroFrom(data, Math.max(from, data.length - MIN_ZERO_TAIL_BYTES))
}

function isZeroFrom (data: Buffer, from: number): boolean {
  for (let index = from; index < data.length; index++) {
    if (data[index] !== 0) return false
  }
  return true
}

function createDamageError (file: string, offset: number): StorageError {
  return new StorageError(`${file} is damaged at byte ${offset}`,
    'move the data folder aside and replace this control VM with lagoonctl members replace')
}
