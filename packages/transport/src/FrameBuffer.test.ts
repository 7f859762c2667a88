import { expect, test } from 'vitest'
import { FrameBuffer } from './FrameBuffer.js'
import { FrameMemory } from './FrameMemory.js'

const MAX_BYTES = 10_000

// Guards against links that stop in the middle of a frame and together take all memory.
test('link with the largest part of a frame closes when the parts of all links take too much, and others go on', () => {
  const memory = new FrameMemory(MAX_BYTES)
  const closed: number[] = []
  const links = Array.from({ length: 20 }, (_, index) => new FrameBuffer(() => closed.push(index), memory))
  const receive = (index: number, bytes: number): number => {
    const link = links[index] as FrameBuffer
    const data = link.append(Buffer.alloc(bytes, index))
    link.keep(data)
    return data.length
  }
  for (let index = 0; index < links.length; index++) receive(index, 100)
  receive(7, 100)
  for (let count = 0; count < 60; count++) receive(7, 200)
  expect(closed[0]).toBe(7)
  expect(receive(3, 50)).toBe(150)
  expect(links.reduce((sum, link) => sum + link.heldBytes, 0)).toBeLessThanOrEqual(MAX_BYTES)
})

test('bytes of a frame that was taken are not overwritten by later ones', () => {
  const link = new FrameBuffer(() => undefined, new FrameMemory(MAX_BYTES))
  link.keep(link.append(Buffer.from('ab')))
  const taken = link.append(Buffer.from('cdef')).subarray(0, 4)
  link.keep(Buffer.from('ef'))
  link.keep(link.append(Buffer.from('gh')))
  expect([String(taken), String(link.append(Buffer.from('i')))]).toEqual(['abcd', 'efghi'])
})
