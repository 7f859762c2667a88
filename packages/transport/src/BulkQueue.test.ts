import { expect, test } from 'vitest'
import { BULK_CHUNK_BYTES, BulkQueue, type IBulkChunk } from './BulkQueue.js'

function takeAll (queue: BulkQueue): IBulkChunk[] {
  const taken: IBulkChunk[] = []
  for (let next = queue.take(); next !== undefined; next = queue.take()) taken.push(next)
  return taken
}

test('calls take turns, a chunk at a time', () => {
  const queue = new BulkQueue()
  queue.push(1, Buffer.alloc(3 * BULK_CHUNK_BYTES), true)
  queue.push(2, Buffer.alloc(BULK_CHUNK_BYTES), true)
  expect(takeAll(queue).map(({ callId, isEnd }) => [callId, isEnd])).toEqual([[1, false], [2, true], [1, false], [1, true]])
  expect(queue.isEmpty).toBe(true)
})

test('body keeps its bytes and their order, and ends once', () => {
  const queue = new BulkQueue()
  const body = Buffer.from(Array.from({ length: 2 * BULK_CHUNK_BYTES + 7 }, (_, index) => index % 251))
  queue.push(1, body.subarray(0, 10), false)
  queue.push(1, body.subarray(10), false)
  queue.push(1, Buffer.alloc(0), true)
  const taken = takeAll(queue)
  expect(Buffer.concat(taken.map(({ chunk }) => chunk)).equals(body)).toBe(true)
  expect(taken.filter(({ isEnd }) => isEnd)).toHaveLength(1)
  expect(taken.at(-1)?.isEnd).toBe(true)
})

test('end without bytes is not lost', () => {
  const queue = new BulkQueue()
  queue.push(1, Buffer.alloc(0), true)
  expect(takeAll(queue)).toMatchObject([{ callId: 1, isEnd: true }])
})

test('dropped body is not sent', () => {
  const queue = new BulkQueue()
  queue.push(1, Buffer.alloc(10), false)
  queue.push(2, Buffer.alloc(10), true)
  queue.drop(1)
  expect(takeAll(queue).map(({ callId }) => callId)).toEqual([2])
})
