import { expect, test } from 'vitest'
import { BodyBlocks } from './BodyBlocks.js'
import { OfferedBody } from './OfferedBody.js'

const BODY = Buffer.from(Array.from({ length: 50_000 }, (_, index) => index % 251))

// Reordered, lost or repeated bytes at the seams of blocks would corrupt a body without any error.
test.each([[1, 7], [1_000, 5_000], [4_095, 16_384], [4_096, 4_096], [20_000, 1]])('bytes keep their order: chunks of %s, taken by %s', (added, taken) => {
  const blocks = new BodyBlocks()
  for (let start = 0; start < BODY.length; start += added) blocks.push(BODY.subarray(start, start + added))
  const parts: Buffer[] = []
  while (blocks.bytes > BODY.length / 2) parts.push(blocks.take(taken))
  parts.push(...blocks.takeAll())
  expect(Buffer.concat(parts).equals(BODY)).toBe(true)
  expect(blocks.bytes).toBe(0)
})

test('body is offered once for a read, sent as far as its credit, and ended once', async () => {
  const offers: number[] = []
  const sent: Array<[number, boolean]> = []
  let drains = 0
  const body = new OfferedBody({
    onOffer: bytes => offers.push(bytes), onSend: (chunk, isEnd) => sent.push([chunk.length, isEnd]), onDrain: () => drains++
  })
  for (let index = 0; index < 20; index++) body.push(BODY.subarray(0, 4_096))
  expect(body.push(BODY.subarray(0, 100))).toBe(false)
  body.end()
  await new Promise(resolve => setImmediate(resolve))
  expect(offers).toEqual([82_020])
  body.addCredit(4_096)
  expect(drains).toBe(0)
  body.addCredit(77_924)
  expect(drains).toBe(1)
  expect(sent.reduce((sum, [bytes]) => sum + bytes, 0)).toBe(82_020)
  expect(sent.filter(([, isEnd]) => isEnd)).toHaveLength(1)
  expect(sent.at(-1)).toEqual([100, true])
})
